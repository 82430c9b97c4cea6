package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.wire.Piece;

/** What would be late is turned away while more arrives than a pool can do, unless other stages were done for it. */
public class PoolAdmissionTest {
    private static final long TARGET_MS = 1000;
    private static final long DUE_MS = 1500;
    private static final long CALL_MS = 1200;

    /** The load of the pool, whether the group reads results of other stages, and how many groups are turned away. */
    @DataProvider
    public Object[][] lateGroups() {
        return new Object[][] {
            {1.5, false, 1},
            {1.5, true, 0},
            {0.8, false, 0},
            {0.8, true, 0},
        };
    }

    @Test(dataProvider = "lateGroups")
    public void aGroupThatWouldBeLateIsTurnedAwayBeforeAnythingWasDoneForIt(
            double load, boolean readsResults, int turnedAway) {
        PoolForecast forecast = new PoolForecast(List.of(0L), 7, pieces -> CALL_MS);
        AdmissionContext outlook = new AdmissionContext(forecast, group -> 0, load);
        assertEquals(
                PoolAdmission.UNTIL_TARGET_UNDER_OVERLOAD
                        .rejected(List.of(group(readsResults)), outlook, 0)
                        .size(),
                turnedAway);
    }

    private static PieceGroup group(boolean readsResults) {
        Piece piece = readsResults
                ? new Piece("request", 1, 0, null, List.of("10.0.0.1:1/a"), "key")
                : new Piece("request", 0, 0, "key", List.of(), "key");
        PieceTask ticket = new PieceTask(
                piece, new Urgency(0, TARGET_MS, DUE_MS), new PieceTask.Placement("", 0, 0), (ended, made) -> {});
        return new PieceGroup(List.of(ticket), 0, CALL_MS / 2.0, false);
    }
}
