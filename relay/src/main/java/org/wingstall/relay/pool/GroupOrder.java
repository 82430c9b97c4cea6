package org.wingstall.relay.pool;

import java.util.List;

/**
 * Says which groups of pieces go to an endpoint first.
 *
 * <p>{@code order.sorted(groups, forecast, nowMs)}
 *
 * @since 0.2
 */
public interface GroupOrder {
    /**
     * Returns the groups in the order in which they go.
     *
     * @param groups the groups, in any order
     * @param forecast when the pool's slots are free, and how long calls take
     * @param nowMs monotonic clock, in ms
     */
    List<PieceGroup> sorted(List<PieceGroup> groups, PoolForecast forecast, long nowMs);

    /** In the order of arrival; the baseline. */
    GroupOrder ARRIVAL = (groups, forecast, nowMs) -> List.copyOf(groups);

    /** Those that can still be in time first, then by rank, then the earliest target. */
    GroupOrder EARLIEST_TARGET = new EarliestTarget();
}
