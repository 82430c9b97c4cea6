package org.wingstall.relay.pool;

import java.util.function.ToLongFunction;

/**
 * What is known of the next second or so of a pool.
 *
 * <p>{@code admission.turnedAway(groupsInOrder, new AdmissionContext(forecast, group -> nowMs, 0.7), nowMs)}
 *
 * @param forecast when its slots are free, and how long calls take
 * @param roomAtMs when an endpoint surely has room for a group, in ms of the monotonic clock
 * @param load work that arrives for each unit that the pool can do; 1 when both are equal
 * @since 0.5
 */
public record AdmissionContext(PoolForecast forecast, ToLongFunction<PieceGroup> capacityAtMs, double load) {}
