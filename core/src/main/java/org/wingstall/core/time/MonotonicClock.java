package org.wingstall.core.time;

import java.util.concurrent.TimeUnit;

/**
 * A clock that never goes backwards and is the only source of time for decisions.
 *
 * <p>{@code MonotonicClock clock = System::nanoTime;}
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns the time in ns since an arbitrary origin. */
    long nanoTime();

    /** Returns the time in ms since an arbitrary origin. */
    default long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(nanoTime());
    }
}
