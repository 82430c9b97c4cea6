package org.wingstall.gateway.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.time.Jitter;
import org.wingstall.net.log.LogEvent;

/**
 * Repeats a read of the platform on the control loop, whatever becomes of each; a read that failed is repeated sooner.
 *
 * <p>The time to the next read doubles with each failure up to the interval, so that an outage brings two further reads
 * for each box at its begin and none later.
 */
final class Poller {
    private static final Logger LOG = LogManager.getLogger(Poller.class);
    private static final long FIRST_RETRY_MS = 250;

    private final String name;
    private final EventLoop loop;
    private final long intervalMs;
    private final Poll poll;
    private int failuresInRow;

    /** One read. */
    interface Poll {
        /** Begins the read; the result ends when all that follows from the answer is done. */
        CompletableFuture<?> begin();
    }

    Poller(String name, EventLoop loop, long intervalMs, Poll poll) {
        this.name = name;
        this.loop = loop;
        this.intervalMs = intervalMs;
        this.poll = poll;
    }

    void start(long firstMs) {
        loop.schedule(this::run, firstMs, TimeUnit.MILLISECONDS);
    }

    private void run() {
        begin().whenCompleteAsync((done, failure) -> again(failure), loop);
    }

    private CompletableFuture<?> begin() {
        try {
            return poll.begin();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private void again(Throwable failure) {
        failuresInRow = failure == null ? 0 : failuresInRow + 1;
        if (failure != null) {
            LogEvent.debug("poll-failed").with("poll", name).cause(failure).to(LOG);
        }
        double random = ThreadLocalRandom.current().nextDouble();
        loop.schedule(this::run, Jitter.around(delayMs(), random), TimeUnit.MILLISECONDS);
    }

    private long delayMs() {
        if (failuresInRow == 0) {
            return intervalMs;
        }
        int doublings = Math.min(failuresInRow - 1, Integer.SIZE - 1);
        return Math.min(intervalMs, FIRST_RETRY_MS << doublings);
    }
}
