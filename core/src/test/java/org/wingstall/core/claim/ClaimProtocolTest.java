package org.wingstall.core.claim;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.table.ClaimRow;

public class ClaimProtocolTest {
    private static final ClaimRow MINE = row(ClaimRow.State.CLAIMED, "a", "body");

    private static ClaimRow row(ClaimRow.State state, String attempt, String fingerprint) {
        return new ClaimRow(state, attempt, fingerprint, 1000, 500, null, null);
    }

    @DataProvider
    Object[][] acquisitions() {
        ClaimRow done = row(ClaimRow.State.DONE, "b", "body");
        return new Object[][] {
            {null, 0, new ClaimDecision.Write(0, MINE)},
            {MINE, 4, new ClaimDecision.Run(4)},
            {row(ClaimRow.State.CLAIMED, "b", "body"), 4, new ClaimDecision.Held(300)},
            {row(ClaimRow.State.CLAIMED, "b", "other"), 4, new ClaimDecision.KeyReused()},
            {done, 5, new ClaimDecision.Repeat(done)},
            {row(ClaimRow.State.DONE, "b", "other"), 5, new ClaimDecision.KeyReused()},
            {row(ClaimRow.State.ABANDONED, "b", "body"), 6, new ClaimDecision.Write(6, MINE)},
        };
    }

    @Test(dataProvider = "acquisitions")
    public void attemptRunsOnlyWithItsOwnClaim(ClaimRow found, long version, ClaimDecision expected) {
        assertEquals(ClaimProtocol.acquire(MINE, version, found, 1200), expected);
    }

    @DataProvider
    Object[][] abandonments() {
        return new Object[][] {
            {null, 0, true},
            {MINE, 3, true},
            {row(ClaimRow.State.ABANDONED, "b", "body"), 3, true},
            {row(ClaimRow.State.ABANDONED, "a", "body"), 3, false},
            {row(ClaimRow.State.CLAIMED, "b", "body"), 3, false},
            {row(ClaimRow.State.DONE, "b", "body"), 3, false},
        };
    }

    @Test(dataProvider = "abandonments")
    public void abandoningBlocksLateWritesAndDoesNotAffectOtherAttempts(ClaimRow found, long version, boolean writes) {
        ClaimDecision decision = ClaimProtocol.abandon(MINE, version, found);
        assertEquals(decision instanceof ClaimDecision.Write, writes);
        if (decision instanceof ClaimDecision.Write write) {
            assertEquals(write.expectedVersion(), version);
            assertEquals(write.row().getState(), ClaimRow.State.ABANDONED);
        }
    }
}
