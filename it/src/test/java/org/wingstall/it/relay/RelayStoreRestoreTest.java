package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.StatementLog;
import org.wingstall.standin.fleet.StoreStandin;

/** A box took what a store said that had been restored from a copy for older than what it knew, and dropped it. */
public class RelayStoreRestoreTest {
    /** Time for which the store is away, in ms. */
    private static final long AWAY_MS = 1000;

    /** Time after its return in which entries that lapsed are written again, and some more, in ms. */
    private static final long SETTLED_MS = 3500;

    /** Writes that are lost with the restore; more than come after it, so that versions stay below those known. */
    private static final int LOST_WRITES = 50;

    /** Time for which requests are sent after the bound for an endpoint that leaves, in ms. */
    private static final long SENT_MS = 2000;

    /** Calls that a restore ends with a lost history, at most: the waits for configuration and for crash reports. */
    private static final int WAITS_PER_BOX = 2;

    private RelayStatementFleet fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new RelayStatementFleet("plain", 1);
        fleet.awaitUsed("repeatable");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    private StoreStandin store() {
        return fleet.platform().store();
    }

    private void awaitKnownVersion() {
        Pauses.ofMs(AWAY_MS);
    }

    private void restore() {
        store().mode(StoreStandin.Mode.RESET);
        Pauses.ofMs(AWAY_MS);
        store().restore();
        store().mode(StoreStandin.Mode.SERVING);
    }

    private void copyWriteAndRestore() {
        store().copy();
        for (int i = 0; i < LOST_WRITES; i++) {
            store().put("others", "row-" + i, "{}");
        }
        awaitKnownVersion();
        restore();
    }

    @DataProvider
    Object[][] ways() {
        return new Object[][] {{"draining"}, {"removed"}};
    }

    @Test(dataProvider = "ways")
    public void anEndpointThatLeavesAfterARestoreGetsNothingBeyondTheBound(String way) {
        copyWriteAndRestore();
        Pauses.ofMs(SETTLED_MS);
        if (way.equals("removed")) {
            fleet.unlistTested();
        } else {
            fleet.listTested("draining");
        }
        fleet.sendFor("repeatable", StatementLog.LEAVING_WITHIN_MS);
        long boundMs = RelayStatementFleet.nowMs();
        fleet.sendFor("repeatable", SENT_MS);
        assertEquals(fleet.log().arrivals("tested", boundMs), List.of());
    }

    /** The copy lists an endpoint as ready that had left before the restore. */
    @Test(dataProvider = "ways")
    public void anEndpointThatLeftBeforeARestoreStaysOut(String way) {
        store().copy();
        if (way.equals("removed")) {
            fleet.unlistTested();
        } else {
            fleet.listTested("draining");
        }
        fleet.sendFor("repeatable", StatementLog.LEAVING_WITHIN_MS);
        restore();
        long boundMs = RelayStatementFleet.nowMs();
        fleet.sendFor("repeatable", SENT_MS);
        assertEquals(fleet.log().arrivals("tested", boundMs), List.of());
    }

    /** An endpoint whose first entry is not in the copy is used on until it has written it again. */
    @Test
    public void anEndpointThatTheCopyLacksIsUsedOn() {
        fleet.unlistTested();
        Pauses.ofMs(AWAY_MS);
        store().copy();
        fleet.listTested();
        fleet.awaitUsed("repeatable");
        restore();
        long fromMs = RelayStatementFleet.nowMs();
        fleet.sendFor("repeatable", AWAY_MS);
        assertTrue(fleet.log().arrivals("tested", fromMs).size() > 0);
        fleet.listTested();
        Pauses.ofMs(SETTLED_MS);
        fleet.awaitUsed("repeatable");
    }

    /** Each wait for a change after the version known before ended at once with a lost history, without an end. */
    @Test
    public void aLostHistoryIsReadWholeOnce() {
        int before = store().historyGone();
        copyWriteAndRestore();
        Pauses.ofMs(SETTLED_MS);
        int ended = store().historyGone() - before;
        assertTrue(ended <= WAITS_PER_BOX, ended + " waits ended");
    }

    @Test
    public void aConfigurationWrittenAfterARestoreIsInForceInTime() {
        copyWriteAndRestore();
        fleet.platform().configure(2, 3000);
        Awaitility.await().until(() -> fleet.box().metrics().lines().anyMatch("wingstall_config_version 2.0"::equals));
    }

    @Test
    public void aConfigurationThatTheCopyLacksStaysInForce() {
        store().copy();
        fleet.platform().configure(2, 3000);
        Awaitility.await().until(() -> fleet.box().metrics().lines().anyMatch("wingstall_config_version 2.0"::equals));
        restore();
        Pauses.ofMs(AWAY_MS);
        assertTrue(fleet.box().metrics().lines().anyMatch("wingstall_config_version 2.0"::equals));
    }

    @DataProvider
    Object[][] evacuations() {
        return new Object[][] {{"before the copy", false}, {"after the copy", true}};
    }

    /** The mark of an evacuation that the copy lacks is written again; no work is sent there meanwhile. */
    @Test(dataProvider = "evacuations")
    public void anEvacuationHoldsThroughARestore(String when, boolean lost) throws Exception {
        fleet.addElsewhere("west", "elsewhere");
        if (lost) {
            store().copy();
        }
        store().put("op", "evacuate/west", "{}");
        Awaitility.await()
                .until(() -> fleet.box().metrics().lines().anyMatch("wingstall_domains_evacuated 1.0"::equals));
        if (!lost) {
            store().copy();
        }
        restore();
        long fromMs = RelayStatementFleet.nowMs();
        fleet.sendFor("repeatable", AWAY_MS);
        store().put("op", "evacuate/west", "{}");
        fleet.sendFor("repeatable", SETTLED_MS);
        assertEquals(fleet.log().arrivals("elsewhere", fromMs), List.of());
        store().remove("op", "evacuate/west");
        Awaitility.await()
                .until(() -> fleet.box().metrics().lines().anyMatch("wingstall_domains_evacuated 0.0"::equals));
        fleet.tested().shed("30");
        fleet.other().shed("30");
        Awaitility.await().until(() -> {
            fleet.send("repeatable").join();
            return !fleet.log().arrivals("elsewhere", fromMs).isEmpty();
        });
    }

    /** What a box itself had written is written again: other boxes find it by its row. */
    @Test
    public void aBoxWhoseRowTheCopyLacksWritesItAgain() {
        store().remove("boxes", "statement-0");
        store().copy();
        store().put("boxes", "statement-0", "{}");
        restore();
        Awaitility.await().until(() -> store().has("boxes", "statement-0"));
    }

    /** Two restores within a second, the second to the same copy. */
    @Test
    public void anEndpointThatLeavesAfterTwoRestoresGetsNothingBeyondTheBound() {
        copyWriteAndRestore();
        store().put("others", "again", "{}");
        Pauses.ofMs(AWAY_MS / 2);
        restore();
        Pauses.ofMs(SETTLED_MS);
        fleet.unlistTested();
        fleet.sendFor("repeatable", StatementLog.LEAVING_WITHIN_MS);
        long boundMs = RelayStatementFleet.nowMs();
        fleet.sendFor("repeatable", SENT_MS);
        assertEquals(fleet.log().arrivals("tested", boundMs), List.of());
    }
}
