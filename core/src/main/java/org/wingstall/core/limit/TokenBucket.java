package org.wingstall.core.limit;

import org.wingstall.core.time.MonotonicClock;

/**
 * Limits a rate with a token bucket whose rate may change from call to call; holds the tokens of one second, at least
 * one.
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
     * @param clock clock for refilling
     */
    public TokenBucket(MonotonicClock clock) {
        this.clock = clock;
        this.refilledAtMs = clock.nowMs();
    }

    /**
     * Takes a token if one is available.
     *
     * @param perSecond refill rate, in tokens per second
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
     * @param perSecond refill rate, in tokens per second
     * @return the time, in ms
     */
    public synchronized long waitMs(double perSecond) {
        return (long) Math.ceil(Math.max(0, 1 - tokens) * MS_PER_SECOND / perSecond);
    }
}
