package org.wingstall.relay.pool;

import java.util.OptionalDouble;

/**
 * An estimate of how much longer the calls of one endpoint take than its service's calls usually do.
 *
 * <p>{@code estimate = estimate.with(tookMs / expectedMs, nowMs);}
 *
 * @param factor average of the ratio of the measured to the expected duration
 * @param measuredAtMs when the last of these calls ended, in ms of the monotonic clock
 */
record SlowdownEstimate(double factor, long measuredAtMs) {
    /** Minimum factor; shorter calls are a fault in the measurement. */
    static final double MIN_FACTOR = 0.25;

    /** Maximum factor; longer calls are lost by their timeout. */
    static final double MAX_FACTOR = 8;

    /**
     * Weight of a call that took longer than estimated. An endpoint runs about three calls a second, so that with a
     * weight of a half the average covers the last second; a single stall counts half. A shorter call has the weight 1:
     * a slow endpoint gets few calls, and its first short one shows that it has recovered.
     */
    private static final double LONGER_CALL_WEIGHT = 0.5;

    /** Time without a call after which an estimate is dropped, in ms; several times the interval between two trials. */
    private static final long VALID_MS = 10_000;

    /** Returns the estimate of an endpoint whose calls took as long as usual until now. */
    static SlowdownEstimate usual(long nowMs) {
        return new SlowdownEstimate(1, nowMs);
    }

    /** Returns the estimate after another call, given the ratio of its duration to the expected one. */
    SlowdownEstimate with(double ratio, long nowMs) {
        double last = limited(ratio);
        double weight = last > factor ? LONGER_CALL_WEIGHT : 1;
        return new SlowdownEstimate(factor + weight * (last - factor), nowMs);
    }

    boolean validAt(long nowMs) {
        return nowMs - measuredAtMs < VALID_MS;
    }

    /** Returns the factor that applies: the one that the endpoint states, else the measured one. */
    static double applied(double measured, OptionalDouble stated) {
        return stated.isPresent() ? limited(stated.getAsDouble()) : measured;
    }

    private static double limited(double factor) {
        return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor));
    }
}
