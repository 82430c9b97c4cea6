package org.wingstall.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Fleets;
import org.wingstall.it.harness.TestFleet;

/** Two boxes in each failure domain: one of them cut off from the platform, or from all its peers. */
public class PeerCutTest {
    private static final int KEYS = 30;
    private static final Duration BOUND = Duration.ofSeconds(15);

    private TestFleet fleet;

    @BeforeClass
    public void startFleet() {
        fleet = Fleets.six("peer-cut", "peering: {silentAfterMs: 3000}");
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    @AfterMethod(alwaysRun = true)
    public void heal() {
        fleet.healFaults();
        fleet.boxes().forEach(box -> awaitPeers(box, 2));
        fleet.boxes().forEach(this::awaitTable);
    }

    @Test
    public void aBoxCutOffFromThePlatformCommitsClaimsThroughAPeer() {
        TestFleet.Box cut = fleet.box("box-a1");
        fleet.routeFaults(cut.platformRoute(), "{\"cut\": true}");
        awaitSuspicion(cut);
        Map<String, Integer> first = Calls.outcomes(orders("through-peer", List.of(cut)));
        assertEquals(first, Map.of("complete", KEYS));
        List<Calls.Call> repeats = orders("through-peer", List.of(cut, fleet.box("box-b2")));
        assertEquals(Calls.outcomes(repeats), Map.of("complete", 2 * KEYS));
        assertRunsOnce("through-peer");
    }

    @Test
    public void aFailureDomainCutOffFromThePlatformAloneCommitsThroughAnother() {
        List<TestFleet.Box> cut = List.of(fleet.box("box-b1"), fleet.box("box-b2"));
        cut.forEach(box -> fleet.routeFaults(box.platformRoute(), "{\"cut\": true}"));
        cut.forEach(this::awaitSuspicion);
        List<Calls.Call> done = orders("through-domain", cut);
        assertTrue(Calls.outcomes(done).getOrDefault("complete", 0) >= KEYS, Calls.withoutAnswer(done));
        assertRunsOnce("through-domain");
    }

    @Test
    public void boxesOfADomainThatDontHearEachOtherBothCommitAndNothingRunsTwice() {
        TestFleet.Box alone = fleet.box("box-c1");
        fleet.cutFromPeers(alone, true);
        awaitPeers(alone, 1);
        awaitPeers(fleet.box("box-c2"), 1);
        List<Calls.Call> done = orders("peers-cut", List.of(alone, fleet.box("box-c2"), fleet.box("box-a2")));
        assertTrue(
                Calls.outcomes(done).getOrDefault("complete", 0) >= KEYS,
                Calls.outcomes(done).toString());
        assertRunsOnce("peers-cut");
        Map<String, JsonNode> answers = new HashMap<>();
        for (Calls.Call call : done) {
            if (call.outcome().equals("complete")) {
                JsonNode before = answers.putIfAbsent(call.key(), call.answer());
                assertTrue(before == null || before.equals(call.answer()), "answers of " + call.key() + " differ");
            }
        }
    }

    /** Sends every key to every box, all at once; where boxes race for a key, the losers are told that it is taken. */
    private List<Calls.Call> orders(String name, List<TestFleet.Box> boxes) {
        Calls calls = new Calls();
        for (int key = 0; key < KEYS; key++) {
            for (TestFleet.Box box : boxes) {
                calls.send(box, "order", name + "-" + key, name + "-" + key, false);
            }
        }
        List<Calls.Call> done = calls.await();
        System.out.println(name + ": " + Calls.outcomes(done));
        return done;
    }

    private void assertRunsOnce(String prefix) {
        Map<String, Integer> runs = new HashMap<>();
        for (JsonNode run : fleet.runs("ledger")) {
            String key = run.path("key").asText();
            if (key.startsWith(prefix)) {
                runs.merge(key, 1, Integer::sum);
            }
        }
        assertTrue(runs.size() >= KEYS, "keys that ran: " + runs.size());
        runs.forEach((key, count) -> assertEquals(count.intValue(), 1, "runs of " + key));
    }

    private void awaitPeers(TestFleet.Box box, int heard) {
        Awaitility.await(box.id() + " hears " + heard)
                .atMost(BOUND)
                .until(() -> fleet.metric(box, "wingstall_peers_heard_in_domain") == heard);
    }

    private void awaitSuspicion(TestFleet.Box box) {
        Awaitility.await(box.id() + " notices")
                .atMost(BOUND)
                .until(() -> fleet.metric(box, "wingstall_table_unheard") == 1);
    }

    private void awaitTable(TestFleet.Box box) {
        Awaitility.await(box.id() + " hears the table")
                .atMost(BOUND)
                .until(() -> fleet.metric(box, "wingstall_table_unheard") == 0);
    }
}
