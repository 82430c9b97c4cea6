package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;

/** A planned stop cuts no request. */
public class RelayStopTest {
    private static final int OPEN_CONNECTIONS = 200;

    /** Time in which a box that runs asks the store several times, in ms. */
    private static final long QUIET_MS = 3000;

    private FleetStandin fleet;
    private RelayBox box;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 5000);
        fleet.add("engine", "east", "e1", new WorkerStandin("e1", 60, 0));
        box = new RelayBox(fleet, "stops").awaitReady();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        box.close();
        fleet.close();
    }

    @Test
    public void aStreamInFlightEndsWhole() {
        var stream = box.postAsync("stream", "in-flight");
        Awaitility.await().until(() -> box.metrics().contains("wingstall_requests_in_flight 1.0"));
        box.stop();
        assertEquals(stream.join().body().split("\n\n").length, 60);
        assertEquals(box.readiness(), 503);
    }

    @Test
    public void theEndWaitsForConnectionsThatARequestMayStillComeOver() throws Exception {
        List<Socket> open = new ArrayList<>();
        for (int i = 0; i < OPEN_CONNECTIONS; i++) {
            Socket socket = box.connect();
            socket.getOutputStream().write("POST /stream/ HTTP/1.1\r\nHost: ".getBytes(StandardCharsets.US_ASCII));
            open.add(socket);
        }
        Awaitility.await()
                .until(() -> box.metrics().contains("wingstall_caller_connections " + OPEN_CONNECTIONS + ".0"));
        box.stop();
        assertTrue(box.metrics().contains("wingstall_caller_connections 0.0"));
        for (Socket socket : open) {
            socket.close();
        }
    }

    /** Boxes of earlier tests went on reading at an address that another server had by then. */
    @Test
    public void aBoxThatIsGoneAsksTheStoreNoLonger() {
        box.close();
        int calls = fleet.store().calls();
        Pauses.ofMs(QUIET_MS);
        assertEquals(fleet.store().calls(), calls);
    }
}
