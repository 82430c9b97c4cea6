package org.wingstall.relay.pool;

/**
 * The order of a request among others.
 *
 * <p>{@code new Urgency(1, nowMs + 1000, nowMs + 8000)}
 *
 * @param rank order by workspace and route; 0 goes first
 * @param targetAtMs when its stages, or one of them, have to be done so that its answer is in time, in ms of the monotonic
 *     clock
 * @param dueAtMs when its time is over, in ms of the monotonic clock
 * @since 0.2
 */
public record Urgency(int rank, long targetAtMs, long deadlineAtMs) {}
