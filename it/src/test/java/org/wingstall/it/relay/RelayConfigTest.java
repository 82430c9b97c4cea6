package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.StoreStandin.Mode;
import org.wingstall.standin.fleet.WorkerStandin;

/** The configuration in force follows the store, through its faults, and never goes back. */
public class RelayConfigTest {
    private FleetStandin fleet;
    private RelayBox box;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.add("plain", "east", "p1", new WorkerStandin("p1", 0, 0));
        box = new RelayBox(fleet, "follows");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        box.close();
        fleet.close();
    }

    private boolean inForce(long version) {
        return box.metrics().contains("wingstall_config_version " + version + ".0");
    }

    @Test
    public void aBoxWithoutConfigurationIsNotReadyAndSaysThatNothingRan() {
        assertEquals(box.readiness(), 503);
        assertEquals(box.post("once", "early").status(), 503);
        fleet.configure(1, 1000);
        box.awaitReady();
        assertEquals(box.post("once", "later").status(), 200);
    }

    @DataProvider
    Object[][] outages() {
        return new Object[][] {{Mode.BUSY}, {Mode.SILENT}, {Mode.RESET}};
    }

    @Test(dataProvider = "outages")
    public void anOutageOfTheStoreCostsNothingButTheNextVersion(Mode outage) {
        fleet.configure(1, 1000);
        box.awaitReady();
        fleet.store().mode(outage);
        fleet.configure(2, 1000);
        assertEquals(box.post("once", "meanwhile-" + outage).status(), 200);
        fleet.store().mode(Mode.SERVING);
        Awaitility.await().until(() -> inForce(2));
    }

    @Test
    public void lostHistoryIsMetByReadingTheWhole() {
        fleet.configure(1, 1000);
        box.awaitReady();
        fleet.configure(2, 1000);
        fleet.store().forgetHistory();
        fleet.configure(3, 1000);
        Awaitility.await().until(() -> inForce(3));
    }

    @Test
    public void anOlderVersionNeverComesIntoForce() {
        fleet.configure(5, 1000);
        Awaitility.await().until(() -> inForce(5));
        fleet.configure(4, 1000);
        fleet.store().forgetHistory();
        int calls = fleet.store().calls();
        Awaitility.await().until(() -> fleet.store().calls() > calls + 10);
        assertTrue(inForce(5));
    }

    @Test
    public void aLeavingEndpointGetsNoNewWork() throws Exception {
        WorkerStandin leaving = new WorkerStandin("p2", 0, 0);
        String address = fleet.add("plain", "east", "p2", leaving);
        fleet.configure(1, 1000);
        box.awaitReady();
        Awaitility.await().until(() -> {
            box.post("once", "before-" + System.nanoTime());
            return !leaving.runs().isEmpty();
        });
        fleet.list("plain", "east", "p2", address, "draining");
        int calls = fleet.store().calls();
        Awaitility.await().until(() -> fleet.store().calls() > calls + 4);
        int ran = leaving.runs().size();
        for (int i = 0; i < 20; i++) {
            box.post("once", "after-" + i);
        }
        assertEquals(leaving.runs().size(), ran);
    }
}
