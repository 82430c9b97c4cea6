package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Arrays;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.StoreStandin.Mode;
import org.wingstall.standin.fleet.WorkerStandin;

/** A box that the store turned away kept an old configuration, though its peers had the new one. */
public class RelayTurnedAwayBoxTest {
    /** Time within which a change has to be in force, and one heartbeat of a peer. */
    private static final Duration BOUND = Duration.ofMillis(2000 + 440);

    private FleetStandin fleet;
    private RelayBox served;
    private RelayBox turnedAway;
    private String settings;
    private volatile Mode mode;

    @BeforeMethod
    public void start() throws Exception {
        mode = Mode.SERVING;
        fleet = new FleetStandin();
        fleet.configure(1, 1000);
        fleet.add("plain", "east", "p1", new WorkerStandin("p1", 0, 0));
        String service = FleetStandin.serviceOfVersion(2);
        fleet.add(service, "east", "v2", new WorkerStandin("v2", 0, 0));
        served = new RelayBox(fleet, "served").awaitReady();
        settings = fleet.settings("turned-away", "east", fleet.storeAddressOfOneBox(() -> mode));
        turnedAway = new RelayBox(settings).awaitReady();
        awaitLinked();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        turnedAway.close();
        served.close();
        fleet.close();
    }

    private void awaitLinked() {
        Awaitility.await().until(() -> turnedAway.metrics().contains("wingstall_peers_heard 1.0"));
        Awaitility.await().until(() -> served.metrics().contains("wingstall_peers_heard 1.0"));
    }

    private void awaitInForce(long version) {
        Awaitility.await()
                .atMost(BOUND)
                .until(() -> turnedAway.metrics().contains("wingstall_config_version " + version + ".0"));
    }

    @DataProvider
    public Object[][] ways() {
        return Arrays.stream(Mode.values())
                .filter(way -> way != Mode.SERVING)
                .map(way -> new Object[] {way})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "ways")
    public void aNewVersionIsInForceAtABoxThatTheStoreTurnsAway(Mode way) {
        mode = way;
        fleet.configure(2, 1000);
        awaitInForce(2);
        assertEquals(turnedAway.post("versioned", "newer-" + way).status(), 200);
    }

    @Test(dataProvider = "ways")
    public void aBoxThatStartsWhileTheStoreTurnsItAwayGetsTheConfiguration(Mode way) throws Exception {
        turnedAway.close();
        mode = way;
        turnedAway = new RelayBox(settings);
        awaitInForce(1);
    }
}
