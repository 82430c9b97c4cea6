package org.wingstall.relay.pool;

import java.util.Comparator;
import java.util.List;

/**
 * Says which groups of pieces go to an endpoint first.
 *
 * <p>{@code order.sorted(groups, "kgn-a", nowMs)}
 *
 * @since 0.2
 */
public interface GroupOrder {
    /** Returns the groups in the order in which an endpoint of the failure domain takes them. */
    List<PieceGroup> sorted(List<PieceGroup> groups, String failureDomain, long nowMs);

    /** In the order of arrival; the baseline. */
    GroupOrder ARRIVAL = (groups, failureDomain, nowMs) -> List.copyOf(groups);

    /**
     * Those that can still be in time first, then by rank, then the earliest target; a group whose inputs or reader are in
     * the endpoint's failure domain counts as somewhat earlier.
     */
    GroupOrder EARLIEST_TARGET = new EarliestTarget();

    /** See {@link #EARLIEST_TARGET}. */
    final class EarliestTarget implements GroupOrder {
        /** What nearness is worth, in ms of target; about a call without its pieces. */
        private static final long NEAR_MS = 150;

        private EarliestTarget() {}

        @Override
        public List<PieceGroup> sorted(List<PieceGroup> groups, String failureDomain, long nowMs) {
            Comparator<PieceGroup> order = Comparator.<PieceGroup>comparingInt(group -> group.lateAt(nowMs) ? 1 : 0)
                    .thenComparingInt(group -> group.urgency().rank())
                    .thenComparingLong(group -> group.latestBeginAtMs() - nearMs(group, failureDomain));
            return groups.stream().sorted(order).toList();
        }

        private static long nearMs(PieceGroup group, String failureDomain) {
            return group.placement().nearDomain().equals(failureDomain) ? NEAR_MS : 0;
        }
    }
}
