package org.wingstall.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.StreamSupport;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Fleets;
import org.wingstall.it.harness.Http;
import org.wingstall.it.harness.Pauses;
import org.wingstall.it.harness.Rows;
import org.wingstall.it.harness.TestFleet;
import org.wingstall.schema.platform.Member;

/** Promises 1 to 3: every request gets its own whole answer, also streamed, and "not run" is true. */
public class OwnAnswerTest {
    private static final int REQUESTS = 150;

    private TestFleet fleet;

    @BeforeClass
    public void startFleet() {
        fleet = Fleets.three("own-answer");
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
    Object[][] faults() {
        return new Object[][] {
            {"none", "far-constanta-a-0", "{}", "{}"},
            {"answers of another request", "far-constanta-a-0", "{\"wrongId\": true}", "{}"},
            {"tokens of another request", "briza-constanta-a-0", "{\"wrongId\": true}", "{}"},
            {"tokens twice", "briza-constanta-a-0", "{\"twice\": true}", "{}"},
            {"engine dies in mid-stream", "briza-constanta-a-0", "{\"dieAfterTokens\": 5}", "{}"},
            {"stage fails", "far-constanta-a-1", "{\"fail\": true}", "{}"},
            {"stage refuses unrun", "far-constanta-a-1", "{\"refuse\": true}", "{}"},
            {"pool answers nothing", "far-constanta-a-1", "{\"hang\": true}", "{}"},
            {"answers come late", "far-constanta-a-1", "{\"slowFactor\": 120}", "{}"},
            {"reset in mid-body", "briza-constanta-b-0", "{}", "{\"resetAfterBytes\": 900}"},
            {"answers dropped", "far-constanta-a-0", "{}", "{\"dropAnswers\": true}"},
        };
    }

    @Test(dataProvider = "faults")
    public void everyRequestGetsItsOwnWholeAnswer(String fault, String id, String atEndpoint, String atRoute) {
        TestFleet.Endpoint endpoint = fleet.endpoint(id);
        fleet.endpointFaults(endpoint, atEndpoint);
        fleet.routeFaults(endpoint.route(), atRoute);
        Calls calls = new Calls();
        for (int i = 0; i < REQUESTS; i++) {
            TestFleet.Box box = fleet.boxes().get(i % 3);
            calls.send(box, "plan", fault + " " + i, null, i % 2 == 0);
            Pauses.ofMs(3);
        }
        List<Calls.Call> done = calls.await();
        int complete = 0;
        Set<String> notRun = new HashSet<>();
        for (Calls.Call call : done) {
            if (call.outcome().equals("complete")) {
                complete++;
                assertEquals(Rows.output(call.answer()), Rows.plan(call.text()), call.text());
                if (call.streamed()) {
                    assertEquals(call.streamedText(), Rows.plan(call.text()), call.text());
                }
            } else {
                assertTrue(Set.of("not-run", "failed").contains(call.outcome()), call.outcome() + call.reply());
            }
            if (call.outcome().equals("not-run")) {
                notRun.add(call.answer().path("requestId").asText());
            }
        }
        System.out.println(fault + ": " + Calls.outcomes(done));
        assertTrue(complete >= REQUESTS * 0.9, fault + ": " + Calls.outcomes(done));
        assertNothingRan(notRun);
    }

    @Test
    public void aKilledEngineCutsNoAnswer() {
        TestFleet.Endpoint killed = fleet.endpoint("briza-constanta-b-0");
        fleet.endpoints("briza").forEach(engine -> fleet.endpointFaults(engine, "{\"slowFactor\": 10}"));
        Calls calls = new Calls();
        for (int i = 0; i < 60; i++) {
            calls.send(fleet.boxes().get(i % 3), "plan", "killed engine " + i, null, i % 2 == 0);
        }
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> runsAt(killed) >= 5);
        killed.process().kill();
        List<Calls.Call> done = calls.await();
        killed.process().restart();
        Awaitility.await().atMost(Duration.ofSeconds(20)).ignoreExceptions().until(() -> runsAt(killed) >= 0);
        assertEquals(Calls.outcomes(done), Map.of("complete", 60), Calls.withoutAnswer(done));
        for (Calls.Call call : done) {
            assertEquals(Rows.output(call.answer()), Rows.plan(call.text()));
        }
    }

    @Test
    public void anEngineThatIsLeftAloneIsWaitedForUntilTheDeadline() {
        TestFleet.Endpoint away = fleet.endpoint("briza-constanta-b-0");
        TestFleet.Endpoint alone = fleet.endpoint("briza-constanta-a-0");
        TestFleet.Box box = fleet.boxes().get(0);
        fleet.register(away, Member.State.LEAVING);
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> servingEngines(box) == 1);
        warmUp(box);
        fleet.routeFaults(alone.route(), "{\"delayMs\": 400}");
        Calls calls = new Calls();
        for (int i = 0; i < 4; i++) {
            calls.send(box, "plan", "alone " + i, null, i % 2 == 0);
        }
        List<Calls.Call> done = calls.await();
        heal();
        fleet.register(away, Member.State.LIVE, 2);
        Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> servingEngines(box) == 2);
        assertEquals(Calls.outcomes(done), Map.of("complete", 4), Calls.withoutAnswer(done));
    }

    /** Engines that load a model one after the other may reject a request at each of them. */
    @Test
    public void aRequestThatEveryEngineRejectedUnrunIsSentAgain() {
        fleet.endpoints("briza").forEach(engine -> fleet.endpointFaults(engine, "{\"refuseFirst\": 1}"));
        Calls calls = new Calls();
        calls.send(fleet.boxes().get(0), "plan", "rejected by all", null, false);
        List<Calls.Call> done = calls.await();
        assertEquals(Calls.outcomes(done), Map.of("complete", 1), Calls.withoutAnswer(done));
    }

    /** Lets a gateway learn that engines answer fast, so that it allows little time from then on. */
    private void warmUp(TestFleet.Box box) {
        Calls calls = new Calls();
        for (int i = 0; i < 20; i++) {
            calls.send(box, "plan", "warm " + i, null, true);
        }
        assertEquals(Calls.outcomes(calls.await()), Map.of("complete", 20));
    }

    private long servingEngines(TestFleet.Box box) throws IOException {
        JsonNode fleetStatus = Http.get(box.operator(), "/v1/fleet").json();
        return StreamSupport.stream(fleetStatus.path("endpoints").spliterator(), false)
                .filter(endpoint -> endpoint.path("service").asText().equals("briza"))
                .filter(endpoint -> endpoint.path("state").asText().equals("serving"))
                .count();
    }

    private int runsAt(TestFleet.Endpoint endpoint) throws IOException {
        return Http.get(endpoint.address(), "/admin/runs").json().size();
    }

    private void assertNothingRan(Set<String> requestIds) {
        for (String service : List.of("far", "briza")) {
            for (JsonNode run : fleet.runs(service)) {
                assertTrue(!requestIds.contains(run.path("requestId").asText()), "ran after not-run: " + run);
            }
        }
    }
}
