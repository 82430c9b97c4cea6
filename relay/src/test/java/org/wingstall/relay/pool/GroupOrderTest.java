package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the order in which groups are sent. */
public class GroupOrderTest {
    private static final long NOW_MS = 1000;

    private static PieceGroup group(int rank, long targetAtMs) {
        return PieceGroups.group(rank, targetAtMs, 4);
    }

    /** Pairs of groups in the expected order. */
    @DataProvider
    Object[][] pairs() {
        return new Object[][] {
            {group(1, 1550), group(2, 1500)},
            {group(2, 1500), group(1, 900)},
            {group(1, 1500), group(1, 1550)},
        };
    }

    @Test(dataProvider = "pairs")
    public void groupsThatCanMeetTheirTargetAreFirstThenRankThenTarget(PieceGroup first, PieceGroup second) {
        assertEquals(GroupOrder.EARLIEST_TARGET.sorted(List.of(second, first), NOW_MS), List.of(first, second));
    }
}
