package org.wingstall.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Fleets;
import org.wingstall.it.harness.Rows;
import org.wingstall.it.harness.TestFleet;

/** Second calls of late stages: their answers are the request's own, and nothing that runs once is called twice. */
public class HedgeTest {
    private static final int REQUESTS = 60;
    private static final String CALLED = "wingstall_hedges_total";

    private TestFleet fleet;

    @BeforeClass
    public void startFleet() {
        fleet = Fleets.three("hedge", "policy: {hedgeBudgetPercent: 100, hedgeQuantile: 0.5}");
        Calls first = new Calls();
        for (int i = 0; i < REQUESTS; i++) {
            first.send(fleet.boxes().get(i % 3), "order", "first " + i, "first-" + i, false);
        }
        assertEquals(Calls.outcomes(first.await()), Map.of("complete", REQUESTS));
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    @AfterMethod(alwaysRun = true)
    public void heal() {
        fleet.healFaults();
    }

    @DataProvider
    Object[][] lateServices() {
        return new Object[][] {
            {"far-constanta-a-0", false}, {"briza-constanta-a-0", false}, {"briza-constanta-a-0", true}
        };
    }

    @Test(dataProvider = "lateServices")
    public void answersOfStagesThatWereCalledTwiceAreTheRequestsOwn(String late, boolean streamed) {
        fleet.endpointFaults(fleet.endpoint(late), "{\"slowFactor\": 20}");
        double calledBefore = hedges();
        Calls calls = new Calls();
        String name = late + streamed + " ";
        for (int i = 0; i < REQUESTS; i++) {
            calls.send(fleet.boxes().get(i % 3), "plan", name + i, null, streamed);
        }
        List<Calls.Call> done = calls.await();
        assertEquals(Calls.outcomes(done), Map.of("complete", REQUESTS));
        for (Calls.Call call : done) {
            assertEquals(call.answer().path("output").path("text").asText(), Rows.plan(call.text()));
            if (streamed) {
                assertEquals(call.streamedText(), Rows.plan(call.text()));
            }
        }
        assertTrue(hedges() > calledBefore, "no stage was called twice");
    }

    @Test
    public void aStageThatRunsAtMostOnceIsNeverCalledTwice() {
        fleet.endpoints("ledger").forEach(endpoint -> fleet.endpointFaults(endpoint, "{\"slowFactor\": 20}"));
        Calls calls = new Calls();
        for (int i = 0; i < REQUESTS; i++) {
            calls.send(fleet.boxes().get(i % 3), "order", "once " + i, "once-" + i, false);
        }
        assertEquals(Calls.outcomes(calls.await()), Map.of("complete", REQUESTS));
        Map<String, Long> runsByKey = fleet.runs("ledger").stream()
                .map(HedgeTest::keyOf)
                .filter(key -> key.startsWith("once-"))
                .collect(Collectors.groupingBy(key -> key, Collectors.counting()));
        assertEquals(runsByKey.size(), REQUESTS);
        runsByKey.forEach((key, runs) -> assertEquals(runs.longValue(), 1, key));
    }

    private static String keyOf(JsonNode run) {
        return run.path("key").asText();
    }

    /** Returns the second calls made so far by all boxes. */
    private double hedges() {
        return fleet.boxes().stream()
                .mapToDouble(box -> fleet.metric(box, CALLED))
                .sum();
    }
}
