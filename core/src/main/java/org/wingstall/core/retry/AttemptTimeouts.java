package org.wingstall.core.retry;

import org.wingstall.core.admit.StageTimes;

/**
 * Says how long an attempt at a repeatable stage may go without progress before another endpoint is tried.
 *
 * <p>{@code long timeoutMs = AttemptTimeouts.firstProgressMs(times, remainingMs);}
 *
 * @since 0.1
 */
public final class AttemptTimeouts {
    /** Longest time between two tokens of a stream, in ms; many times what 95 in 100 take. */
    public static final long BETWEEN_TOKENS_MS = 500;

    /** Time without a sign of life to any call after which an endpoint that is left alone counts as failing, in ms. */
    public static final long UNRESPONSIVE_AFTER_MS = 1000;

    private static final double QUANTILE = 0.9;
    private static final double FACTOR = 3;
    private static final long MIN_MS = 150;

    private AttemptTimeouts() {}

    /**
     * Returns the time allowed until the first sign of an answer; half of what is left while nothing is known.
     *
     * @param times recent times to the first sign
     * @param remainingMs time left until the deadline, in ms
     * @return the time allowed, in ms
     */
    public static long firstProgressMs(StageTimes times, long remainingMs) {
        if (!times.hasEnoughSamples()) {
            return Math.max(MIN_MS, remainingMs / 2);
        }
        long usual = (long) (FACTOR * times.quantileMs(QUANTILE));
        return Math.min(remainingMs, Math.max(MIN_MS, usual));
    }
}
