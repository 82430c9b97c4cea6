package org.wingstall.it;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Rows;
import org.wingstall.it.harness.TestFleet;

/** The first request after three endpoints had ended unnoticed was quarantined as one that ends endpoints. */
public class UnreportedEndsTest {
    private static final int ENDED = 3;

    private TestFleet fleet;

    @BeforeClass
    public void startFleet() {
        fleet = new TestFleet("unreported-ends")
                .endpoints("pool", "far", "d1", ENDED, "--run-ms", "4", "--slots", "32")
                .endpoints("pool", "far", "d2", 1, "--run-ms", "4", "--slots", "32")
                .endpoints("engine", "briza", "d1", 1, "--run-ms", "3", "--slots", "32", "--slow-down", "0.01")
                .gateway("box-a", "d1")
                .begin(Rows.ROWS);
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    /** A gateway prefers its own failure domain, where a proxy resets the connection of each call. */
    @Test
    public void firstRequestAfterItsEndpointsEndedIsServed() {
        fleet.endpoint("far-d1-0").process().kill();
        for (String repeat : List.of("first time", "again")) {
            Calls calls = new Calls();
            calls.send(fleet.box("box-a"), "plan", "harmless", null, false);
            List<Calls.Call> done = calls.await();
            assertEquals(Calls.outcomes(done), Map.of("complete", 1), repeat + ": " + Calls.withoutAnswer(done));
        }
    }
}
