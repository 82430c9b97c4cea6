package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.StoreStandin.Mode;

/** A box did not serve long after its start; no step of a start may wait for a response that does not come. */
public class RelayStartTest {
    /** Time without faults after which a box has to keep its promises, in ms; the platform's own figure. */
    private static final long CONTACT_MS = 3000;

    private static final long OUTAGE_MS = 2500;

    private FleetStandin fleet;
    private RelayBox box;

    /** Accepts connections and says nothing. */
    private ServerSocket silentPeer;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin().withAllServices();
        silentPeer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        if (box != null) {
            box.close();
        }
        silentPeer.close();
        fleet.close();
    }

    @DataProvider
    Object[][] starts() {
        return new Object[][] {
            {Mode.SERVING, "none"},
            {Mode.SERVING, "silent"},
            {Mode.BUSY, "none"},
            {Mode.BUSY, "silent"},
            {Mode.SILENT, "none"},
            {Mode.SILENT, "silent"},
            {Mode.RESET, "none"},
            {Mode.RESET, "silent"},
        };
    }

    @Test(dataProvider = "starts")
    public void boxServesSoonAfterTheStoreDoes(Mode atStart, String peer) throws Exception {
        if (peer.equals("silent")) {
            listSilentPeer();
        }
        fleet.store().mode(atStart);
        box = new RelayBox(fleet, "starting");
        if (atStart != Mode.SERVING) {
            Pauses.ofMs(OUTAGE_MS);
            fleet.store().mode(Mode.SERVING);
        }
        Awaitility.await().atMost(Duration.ofMillis(CONTACT_MS)).until(() -> box.readiness() == 200);
        assertEquals(box.post("once", "first").status(), 200);
        assertEquals(box.post("staged", "second").status(), 200);
    }

    private void listSilentPeer() {
        String row = "{\"failureDomain\":\"east\",\"capacity\":1,\"peerAddress\":\"127.0.0.1:%d\"}";
        fleet.store().put("boxes", "silent-peer", row.formatted(silentPeer.getLocalPort()));
    }
}
