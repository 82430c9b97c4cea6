package org.wingstall.relay.pool;

import org.wingstall.core.time.MonotonicClock;

/**
 * The rank, target and deadline that decide the order of a request among others.
 *
 * <p>{@code new Urgency(1, nowMs + 1000, nowMs + 8000)}
 *
 * @param rank order by workspace and route; 0 is served first
 * @param targetAtMs when its stages, or one of them, have to be done so that the request meets its target, in ms of the
 *     monotonic clock
 * @param deadlineAtMs when its deadline passes, in ms of the monotonic clock
 * @param callerDeadlineAtMs when the caller gives up, in ms of the monotonic clock; at or after {@code deadlineAtMs}
 * @param laterWaitMs part of the time between target and end of the request that later stages spend in queues of
 *     overloaded pools, in ms
 * @since 0.2
 */
public record Urgency(int rank, long targetAtMs, long deadlineAtMs, long callerDeadlineAtMs, long laterWaitMs) {
    /** Creates the urgency of a request whose caller gives up at the deadline, without waits of later stages. */
    public Urgency(int rank, long targetAtMs, long deadlineAtMs) {
        this(rank, targetAtMs, deadlineAtMs, deadlineAtMs, 0);
    }

    /** Returns the same urgency for a caller that gives up at the given time. */
    public Urgency withCallerDeadline(long atMs) {
        return new Urgency(rank, targetAtMs, deadlineAtMs, Math.max(deadlineAtMs, atMs), laterWaitMs);
    }

    /** Returns the time until its deadline, in ms. */
    long remainingMs(MonotonicClock clock) {
        return deadlineAtMs - clock.nowMs();
    }

    /** Returns the urgency of a stage, given the time that later stages take and the part of it that is queueing. */
    Urgency beforeStages(long laterMs, long laterQueueMs) {
        return new Urgency(rank, targetAtMs - laterMs, deadlineAtMs, callerDeadlineAtMs, laterQueueMs);
    }
}
