package org.wingstall.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Fleets;
import org.wingstall.it.harness.Pauses;
import org.wingstall.it.harness.Rows;
import org.wingstall.it.harness.TestFleet;

/** Promise 4: a request that is not repeatable runs at most once, and a recorded answer is every repeat's answer. */
public class AtMostOnceTest {
    private static final int KEYS = 40;
    private static final int ROUNDS = 4;

    private TestFleet fleet;

    @BeforeClass
    public void startFleet() {
        fleet = Fleets.three("at-most-once");
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    @AfterMethod(alwaysRun = true)
    public void heal() {
        fleet.healFaults();
        fleet.reviveBoxes();
        fleet.boxes().forEach(fleet::awaitReady);
    }

    private interface Fault {
        void at(TestFleet fleet, int round);
    }

    @DataProvider
    Object[][] faults() {
        Fault none = (fleet, round) -> {};
        Fault lost = (fleet, round) -> fleet.platformFaults("{\"loseAnswerRate\": 0.5}");
        Fault late = (fleet, round) -> fleet.platformFaults("{\"lateRate\": 0.5, \"lateMs\": 700}");
        Fault slow = (fleet, round) -> fleet.platformFaults("{\"delayMs\": 300}");
        Fault down = (fleet, round) -> fleet.platformFaults(round == 1 ? "{\"down\": true}" : "{}");
        Fault silent = (fleet, round) -> fleet.platformFaults(round == 1 ? "{\"silent\": true}" : "{}");
        Fault cut = (fleet, round) ->
                fleet.routeFaults(fleet.box("box-b").platformRoute(), "{\"cut\": " + (round < 2) + "}");
        Fault dropped = (fleet, round) -> fleet.endpoints("ledger")
                .forEach(ledger -> fleet.routeFaults(ledger.route(), "{\"dropAnswers\": " + (round < 2) + "}"));
        Fault killed = (fleet, round) -> {
            if (round == 1) {
                fleet.box("box-b").process().kill();
            }
        };
        Fault frozen = (fleet, round) -> {
            if (round == 1) {
                fleet.box("box-c").process().freeze();
            } else if (round == 3) {
                fleet.box("box-c").process().thaw();
            }
        };
        Fault slowLedger = (fleet, round) -> fleet.endpoints("ledger")
                .forEach(ledger -> fleet.endpointFaults(ledger, "{\"slowFactor\": " + (round == 0 ? 400 : 1) + "}"));
        return new Object[][] {
            {"none", none},
            {"answers lost", lost},
            {"writes late", late},
            {"platform slow", slow},
            {"platform down", down},
            {"platform silent", silent},
            {"platform cut", cut},
            {"ledger answers dropped", dropped},
            {"gateway killed", killed},
            {"gateway frozen", frozen},
            {"ledger slower than the deadline", slowLedger},
        };
    }

    @Test(dataProvider = "faults")
    public void aKeyRunsAtMostOnce(String name, Fault fault) {
        Calls calls = new Calls();
        for (int round = 0; round < ROUNDS; round++) {
            fault.at(fleet, round);
            for (int key = 0; key < KEYS; key++) {
                TestFleet.Box box = fleet.boxes().get((key + round) % 3);
                calls.send(box, "order", name + key, name.replace(' ', '-') + "-" + key, false);
            }
            Pauses.ofMs(600);
        }
        fault.at(fleet, ROUNDS);
        List<Calls.Call> done = calls.await();
        System.out.println(name + ": " + Calls.outcomes(done));
        assertRunsAtMostOnce();
        assertAnswersAgree(done, name);
        assertNotRunIsTrue(done);
    }

    private void assertRunsAtMostOnce() {
        Map<String, Integer> runs = new HashMap<>();
        fleet.runs("ledger").forEach(run -> runs.merge(run.path("key").asText(), 1, Integer::sum));
        runs.forEach((key, count) -> assertEquals(count.intValue(), 1, "runs of " + key));
    }

    private void assertAnswersAgree(List<Calls.Call> done, String name) {
        Map<String, JsonNode> answers = new HashMap<>();
        for (Calls.Call call : done) {
            if (call.outcome().equals("complete")) {
                assertEquals(Rows.output(call.answer()), Rows.order(call.text()));
                JsonNode before = answers.putIfAbsent(call.key(), call.answer());
                assertTrue(before == null || before.equals(call.answer()), "answers of " + call.key() + " differ");
            }
        }
        if (name.equals("none")) {
            assertEquals(answers.size(), KEYS, Calls.outcomes(done).toString());
        }
    }

    private void assertNotRunIsTrue(List<Calls.Call> done) {
        Set<String> ran = new HashSet<>();
        fleet.runs("ledger").forEach(run -> ran.add(run.path("requestId").asText()));
        fleet.runs("far").forEach(run -> ran.add(run.path("requestId").asText()));
        for (Calls.Call call : done) {
            if (call.outcome().equals("not-run")) {
                assertTrue(!ran.contains(call.answer().path("requestId").asText()), "ran after not-run: " + call);
            }
        }
    }

    @Test
    public void aKeyWithAnotherBodyIsRefused() {
        Calls calls = new Calls();
        calls.send(fleet.box("box-a"), "order", "first body", "reused-key", false);
        calls.await();
        calls.send(fleet.box("box-b"), "order", "second body", "reused-key", false);
        Calls.Call second = calls.await().get(1);
        assertEquals(second.answer().path("reason").asText(), "key-reused");
        assertEquals(second.outcome(), "not-run");
    }

    @Test
    public void aClaimOfADeadGatewayIsUnknownAfterItsDeadline() {
        fleet.endpoints("ledger").forEach(ledger -> fleet.endpointFaults(ledger, "{\"hang\": true}"));
        Calls calls = new Calls();
        calls.send(fleet.box("box-b"), "order", "orphan", "orphan-key", false);
        org.awaitility.Awaitility.await()
                .atMost(java.time.Duration.ofSeconds(5))
                .until(() -> fleet.metric(fleet.box("box-b"), "wingstall_requests_in_flight") >= 1);
        Pauses.ofMs(500);
        fleet.box("box-b").process().kill();
        calls.await();
        Calls repeats = new Calls();
        repeats.send(fleet.box("box-a"), "order", "orphan", "orphan-key", false);
        assertEquals(repeats.await().get(0).outcome(), "in-progress");
        org.awaitility.Awaitility.await()
                .atMost(java.time.Duration.ofSeconds(10))
                .until(() -> {
                    Calls again = new Calls();
                    again.send(fleet.box("box-a"), "order", "orphan", "orphan-key", false);
                    return again.await().get(0).outcome().equals("unknown");
                });
    }
}
