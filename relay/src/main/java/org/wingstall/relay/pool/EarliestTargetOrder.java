package org.wingstall.relay.pool;

import java.util.Comparator;
import java.util.List;

/** See {@link GroupOrder#EARLIEST_TARGET}. */
final class EarliestTargetOrder implements GroupOrder {
    @Override
    public List<PieceGroup> sorted(List<PieceGroup> groups, long nowMs) {
        return byRank(groups, nowMs);
    }

    static List<PieceGroup> byRank(List<PieceGroup> groups, long nowMs) {
        Comparator<PieceGroup> order = Comparator.<PieceGroup>comparingInt(group -> group.isLateAt(nowMs) ? 1 : 0)
                .thenComparingInt(group -> group.urgency().rank())
                .thenComparingLong(PieceGroup::latestStartAtMs);
        return groups.stream().sorted(order).toList();
    }
}
