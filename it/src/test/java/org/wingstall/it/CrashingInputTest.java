package org.wingstall.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Rows;
import org.wingstall.it.harness.TestFleet;

/**
 * An input ends each endpoint that begins to run it. One request alone was sent to four endpoints, and its repeats to all that were
 * left.
 */
public class CrashingInputTest {
    private static final String CRASHING = "ends what runs it";
    private static final List<String> DOMAINS = List.of("d1", "d2", "d3", "d4", "d5");
    private static final int REPEATS = 6;
    private static final int LOSSES = 3;

    private TestFleet fleet;

    @BeforeClass
    public void startFleet() {
        fleet = new TestFleet("crashing-input");
        DOMAINS.forEach(domain -> fleet.endpoints("pool", "far", domain, 1, "--run-ms", "4", "--slots", "32"));
        fleet.endpoints("engine", "briza", "d1", 1, "--run-ms", "3", "--slots", "32", "--slow-down", "0.01")
                .gateway("box-a", "d1")
                .gateway("box-b", "d2")
                .begin(Rows.ROWS);
        fleet.endpoints("far").forEach(far -> fleet.endpointFaults(far, "{\"endsOn\": \"" + CRASHING + "\"}"));
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    private String outcomeOf(TestFleet.Box box, String text) {
        Calls calls = new Calls();
        calls.send(box, "plan", text, null, false);
        return calls.await().get(0).reply().body();
    }

    @Test
    public void anInputThatEndsItsEndpointsIsHeldBack() {
        for (int i = 0; i < REPEATS; i++) {
            outcomeOf(fleet.boxes().get(i % 2), CRASHING);
        }
        long ended = fleet.endpoints("far").stream()
                .filter(far -> !far.process().alive())
                .count();
        assertEquals(ended, LOSSES);
        for (TestFleet.Box box : fleet.boxes()) {
            String refusal = outcomeOf(box, CRASHING);
            assertTrue(refusal.contains("quarantined"), refusal);
            String served = outcomeOf(box, "harmless");
            assertTrue(served.contains("\"complete\""), served);
        }
    }
}
