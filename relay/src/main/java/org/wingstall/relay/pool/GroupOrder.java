package org.wingstall.relay.pool;

import java.util.List;

/**
 * Sorts waiting groups of pieces by the order in which they are sent to endpoints.
 *
 * <p>{@code order.sorted(groups, nowMs)}
 *
 * @since 0.2
 */
public interface GroupOrder {
    /**
     * Returns the groups in the order in which they are sent.
     *
     * @param groups the groups, in any order
     * @param nowMs monotonic clock, in ms
     */
    List<PieceGroup> sorted(List<PieceGroup> groups, long nowMs);

    /** Keeps the order of arrival; the baseline. */
    GroupOrder ARRIVAL = (groups, nowMs) -> List.copyOf(groups);

    /**
     * Sorts groups that can still meet their target first, then by rank, then by the latest start that meets the
     * target.
     */
    GroupOrder EARLIEST_TARGET = new EarliestTargetOrder();
}
