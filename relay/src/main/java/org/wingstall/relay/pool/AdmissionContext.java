package org.wingstall.relay.pool;

import java.util.function.ToLongFunction;

/**
 * The expected state of a pool over the next second or so, as input to the admission of groups.
 *
 * <p>{@code admission.rejected(groupsInOrder, new AdmissionContext(forecast, group -> nowMs, 0.7), nowMs)}
 *
 * @param forecast when slots are free, and how long calls take
 * @param capacityAtMs when an endpoint has result capacity for a group, in ms of the monotonic clock
 * @param load ratio of arriving work to what the pool can do; 1 when both are equal
 * @param usualLoad the same ratio over a longer time, to which the load returns after a burst
 * @since 0.5
 */
public record AdmissionContext(
        PoolForecast forecast, ToLongFunction<PieceGroup> capacityAtMs, double load, double usualLoad) {
    /** Creates the state of a pool whose load is as usual. */
    public AdmissionContext(PoolForecast forecast, ToLongFunction<PieceGroup> capacityAtMs, double load) {
        this(forecast, capacityAtMs, load, load);
    }
}
