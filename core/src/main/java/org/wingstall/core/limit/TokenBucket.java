package org.wingstall.core.limit;

import org.wingstall.core.time.MonotonicClock;

/**
 * A token bucket whose rate may change; holds one second's worth.
 *
 * <p>{@code if (!bucket.tryTake(10)) { refuse(bucket.waitMs(10)); }}
 *
 * @since 0.1
 */
public final class TokenBucket {
    private static final double MS_PER_SECOND = 1000;

    private final MonotonicClock clock;
    private double tokens = 1;
    private long refilledAtMs;

    /**
     * Creates a bucket with one token.
     *
     * @param clock clock that fills it
     */
    public TokenBucket(MonotonicClock clock) {
        this.clock = clock;
        this.refilledAtMs = clock.nowMs();
    }

    /**
     * Takes a token if there is one.
     *
     * @param perSecond rate at which the bucket fills
     * @return whether a token was taken
     */
    public synchronized boolean tryTake(double perSecond) {
        long nowMs = clock.nowMs();
        double capacity = Math.max(1, perSecond);
        tokens = Math.min(capacity, tokens + (nowMs - refilledAtMs) * perSecond / MS_PER_SECOND);
        refilledAtMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Returns the time until the next token.
     *
     * @param perSecond rate at which the bucket fills
     * @return the time, in ms
     */
    public synchronized long waitMs(double perSecond) {
        return (long) Math.ceil(Math.max(0, 1 - tokens) * MS_PER_SECOND / perSecond);
    }
}
