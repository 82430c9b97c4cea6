package org.wingstall.soak;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The end of a run, which whatever lasts for some time waits for.
 *
 * <p>{@code boolean over = end.within(300);}
 *
 * @since 0.3
 */
final class RunEnd {
    private final CountDownLatch ended = new CountDownLatch(1);

    void come() {
        ended.countDown();
    }

    boolean over() {
        return ended.getCount() == 0;
    }

    /** Waits for the end, at most so many ms; returns whether it came. */
    boolean within(long ms) throws InterruptedException {
        return ended.await(ms, TimeUnit.MILLISECONDS);
    }
}
