package org.wingstall.relay.pool;

/**
 * The rank, target and deadline that decide the order of a request among others.
 *
 * <p>{@code new Urgency(1, nowMs + 1000, nowMs + 8000)}
 *
 * @param rank order by workspace and route; 0 is served first
 * @param targetAtMs when its stages, or one of them, have to be done so that the request meets its target, in ms of the
 *     monotonic clock
 * @param deadlineAtMs when its deadline passes, in ms of the monotonic clock
 * @since 0.2
 */
public record Urgency(int rank, long targetAtMs, long deadlineAtMs) {}
