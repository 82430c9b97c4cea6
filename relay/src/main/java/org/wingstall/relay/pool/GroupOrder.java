package org.wingstall.relay.pool;

import java.util.List;

/**
 * Says which groups of pieces go to an endpoint first.
 *
 * <p>{@code order.sorted(groups, nowMs)}
 *
 * @since 0.2
 */
public interface GroupOrder {
    /**
     * Returns the groups in the order in which they go.
     *
     * @param groups the groups, in any order
     * @param nowMs monotonic clock, in ms
     */
    List<PieceGroup> sorted(List<PieceGroup> groups, long nowMs);

    /** In the order of arrival; the baseline. */
    GroupOrder ARRIVAL = (groups, nowMs) -> List.copyOf(groups);

    /** Those that can still be in time first, then by rank, then the earliest target. */
    GroupOrder EARLIEST_TARGET = new EarliestTargetOrder();
}
