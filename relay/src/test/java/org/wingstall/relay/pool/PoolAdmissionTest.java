package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.wire.Piece;

/** Checks which groups that would miss their target are rejected, depending on the load and on earlier stages. */
public class PoolAdmissionTest {
    private static final long TARGET_MS = 1000;
    private static final long DUE_MS = 1500;
    private static final long CALL_MS = 1200;

    /** The load of the pool, whether the group reads results of other stages, and the number of rejected groups. */
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
    public void lateGroupIsRejectedUnderOverloadUnlessItHasPredecessors(
            double load, boolean readsResults, int rejectedGroups) {
        PoolForecast forecast = new PoolForecast(List.of(0L), 7, pieces -> CALL_MS);
        AdmissionContext outlook = new AdmissionContext(forecast, group -> 0, load);
        assertEquals(
                PoolAdmission.UNTIL_TARGET_UNDER_OVERLOAD
                        .rejected(List.of(group(readsResults)), outlook, 0)
                        .size(),
                rejectedGroups);
    }

    /** Wait of later stages, whether the group reads results of other stages, and the number of rejected groups. */
    @DataProvider
    public Object[][] laterWaits() {
        return new Object[][] {{0L, false, 0}, {300L, false, 1}, {300L, true, 0}};
    }

    /** Guards against work for requests that are late because of the queue of a later stage, and against lost work. */
    @Test(dataProvider = "laterWaits")
    public void lateGroupIsRejectedForQueuesOfLaterStagesUnlessItHasPredecessors(
            long laterWaitMs, boolean readsResults, int rejectedGroups) {
        PoolForecast forecast = new PoolForecast(List.of(0L), 7, pieces -> CALL_MS);
        AdmissionContext calm = new AdmissionContext(forecast, group -> 0, 0.5);
        Urgency urgency = new Urgency(0, TARGET_MS, DUE_MS).beforeStages(laterWaitMs, laterWaitMs);
        assertEquals(
                PoolAdmission.UNTIL_TARGET_UNDER_OVERLOAD
                        .rejected(List.of(group(readsResults, urgency)), calm, 0)
                        .size(),
                rejectedGroups);
    }

    private static PieceGroup group(boolean readsResults) {
        return group(readsResults, new Urgency(0, TARGET_MS, DUE_MS));
    }

    private static PieceGroup group(boolean readsResults, Urgency urgency) {
        Piece piece = readsResults
                ? new Piece("request", 1, 0, null, List.of("10.0.0.1:1/a"), "key")
                : new Piece("request", 0, 0, "key", List.of(), "key");
        PieceTask ticket = new PieceTask(piece, urgency, new PieceTask.Placement("", 0, 0), (ended, made) -> {});
        return new PieceGroup(List.of(ticket), 0, CALL_MS / 2.0, false);
    }
}
