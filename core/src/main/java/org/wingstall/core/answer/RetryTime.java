package org.wingstall.core.answer;

/**
 * The time after which a refused caller is asked to retry.
 *
 * <p>{@code RetryTime.scheduled(1200)}
 *
 * @param afterMs the time, in ms; 0 when it is not known
 * @param scheduled whether capacity is reserved at that time, so that it must not be extended by jitter
 * @since 0.16
 */
public record RetryTime(long afterMs, boolean scheduled) {
    /** Length of a step of retry schedules, in ms; below the shortest call of a stage service. */
    public static final long STEP_MS = 100;

    /** A time that is not known. */
    public static final RetryTime UNKNOWN = estimated(0);

    /** Returns a time that several callers are told, and which jitter has to spread. */
    public static RetryTime estimated(long afterMs) {
        return new RetryTime(afterMs, false);
    }

    /** Returns a time at which capacity is reserved for the caller. */
    public static RetryTime scheduled(long afterMs) {
        return new RetryTime(afterMs, true);
    }

    /** Returns the time extended to a minimum. */
    public RetryTime atLeast(long minMs) {
        return new RetryTime(Math.max(minMs, afterMs), scheduled);
    }
}
