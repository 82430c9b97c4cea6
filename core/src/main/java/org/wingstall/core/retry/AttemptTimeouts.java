package org.wingstall.core.retry;

import org.wingstall.core.admit.StageTimes;

/**
 * Calculates how long an attempt at a repeatable stage may go without progress before another endpoint is tried.
 *
 * <p>{@code long timeoutMs = AttemptTimeouts.firstProgressMs(times, remainingMs);}
 *
 * @since 0.1
 */
public final class AttemptTimeouts {
    /** Maximum time between two tokens of a stream, in ms; many times the 95th percentile. */
    public static final long BETWEEN_TOKENS_MS = 500;

    /**
     * Time without progress on any call after which an endpoint counts as failing although its attempt continues,
     * because no other endpoint can take the call, in ms.
     */
    public static final long UNRESPONSIVE_AFTER_MS = 1000;

    private static final double QUANTILE = 0.9;
    private static final double FACTOR = 3;
    private static final long MIN_MS = 150;

    private AttemptTimeouts() {}

    /**
     * Returns the timeout for the first progress of a response; half of the remaining time until enough samples are
     * measured.
     *
     * @param times recent times until the first progress
     * @param remainingMs time left until the deadline, in ms
     * @return the timeout, in ms
     */
    public static long firstProgressMs(StageTimes times, long remainingMs) {
        if (!times.hasEnoughSamples()) {
            return Math.max(MIN_MS, remainingMs / 2);
        }
        long typicalMs = (long) (FACTOR * times.quantileMs(QUANTILE));
        return Math.min(remainingMs, Math.max(MIN_MS, typicalMs));
    }
}
