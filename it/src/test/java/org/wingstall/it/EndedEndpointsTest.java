package org.wingstall.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Rows;
import org.wingstall.it.harness.TestFleet;

/** Harmless requests that are sent to endpoints which an earlier request has ended were refused as quarantined. */
public class EndedEndpointsTest {
    private static final String CRASHING = "ends what runs it";
    private static final List<String> DOMAINS = List.of("d1", "d2", "d3", "d4", "d5");
    private static final int REPEATS = 6;
    private static final int HARMLESS = 40;

    /** Time for which a request is quarantined after its third loss, in ms. */
    private static final long QUARANTINE_MS = 600_000;

    /** Longest time from the third loss to the refusals of the test, in ms. */
    private static final long ELAPSED_MS = 60_000;

    private TestFleet fleet;

    @BeforeMethod
    public void startFleet() {
        fleet = new TestFleet("ended-endpoints");
        DOMAINS.forEach(domain -> fleet.endpoints("pool", "far", domain, 1, "--run-ms", "4", "--slots", "32"));
        fleet.endpoints("engine", "briza", "d1", 1, "--run-ms", "3", "--slots", "32", "--slow-down", "0.01")
                .gateway("box-a", "d1")
                .gateway("box-b", "d2")
                .begin(Rows.ROWS);
        fleet.endpoints("far").forEach(far -> fleet.endpointFaults(far, "{\"endsOn\": \"" + CRASHING + "\"}"));
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    /** Each endpoint has a proxy in front, which accepts a request for an ended endpoint and resets the connection. */
    @Test
    public void harmlessRequestsAreServedRightAfterEndpointsHaveEnded() {
        endThreeEndpoints();
        for (String repeat : List.of("first time", "again")) {
            List<Calls.Call> done = sendHarmless();
            String message = repeat + ": " + Calls.withoutAnswer(done);
            assertEquals(Calls.outcomes(done), Map.of("complete", HARMLESS), message);
        }
    }

    /** An ended endpoint was chosen until three calls in a row had failed there, and each cost a request an attempt. */
    @Test
    public void endedEndpointsCostHarmlessRequestsNoAttempt() {
        endThreeEndpoints();
        List<String> retried = sendHarmless().stream()
                .map(call -> call.answer().path("stages").path(0))
                .filter(stage -> stage.path("attempts").asInt() != 1)
                .map(Object::toString)
                .toList();
        assertEquals(retried, List.of());
    }

    /** A quarantined request was told to come back long before its quarantine ends. */
    @Test
    public void quarantinedRequestIsToldWhenItsQuarantineEnds() {
        endThreeEndpoints();
        for (TestFleet.Box box : fleet.boxes()) {
            Calls calls = new Calls();
            calls.send(box, "plan", CRASHING, null, false);
            long retryAfterMs =
                    calls.await().get(0).answer().path("retryAfterMs").asLong();
            assertTrue(retryAfterMs > QUARANTINE_MS - ELAPSED_MS, retryAfterMs + " ms");
            assertTrue(retryAfterMs <= QUARANTINE_MS, retryAfterMs + " ms");
        }
    }

    private void endThreeEndpoints() {
        for (int i = 0; i < REPEATS; i++) {
            Calls crashing = new Calls();
            crashing.send(fleet.boxes().get(i % 2), "plan", CRASHING, null, false);
            crashing.await();
        }
    }

    private List<Calls.Call> sendHarmless() {
        Calls calls = new Calls();
        for (int i = 0; i < HARMLESS; i++) {
            calls.send(fleet.boxes().get(i % 2), "plan", "harmless " + i, null, false);
        }
        return calls.await();
    }
}
