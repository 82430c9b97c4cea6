package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.wire.Piece;

/** Which pieces an endpoint takes first. */
public class GroupOrderTest {
    private static final long NOW_MS = 1000;

    private static PieceGroup group(String id, int rank, long targetAtMs, String nearDomain) {
        Piece piece = new Piece(id, 0, 0, "key", List.of());
        Urgency urgency = new Urgency(rank, targetAtMs, 9000);
        return new PieceGroup(
                List.of(new PieceTicket(
                        piece, urgency, new PieceTicket.Placement(nearDomain, 1), (ticket, made) -> {})),
                0,
                0);
    }

    @DataProvider
    Object[][] pairs() {
        return new Object[][] {
            {group("first", 1, 2000, ""), group("second", 2, 1500, "")},
            {group("first", 2, 1500, ""), group("second", 1, 900, "")},
            {group("first", 1, 1500, ""), group("second", 1, 1600, "")},
            {group("first", 1, 1600, "east"), group("second", 1, 1500, "west")},
        };
    }

    @Test(dataProvider = "pairs")
    public void thoseInTimeGoFirstThenRankThenTargetAndNearness(PieceGroup first, PieceGroup second) {
        List<PieceGroup> sorted = GroupOrder.EARLIEST_TARGET.sorted(List.of(second, first), "east", NOW_MS);
        assertEquals(sorted, List.of(first, second));
    }
}
