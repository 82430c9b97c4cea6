package org.wingstall.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Fleets;
import org.wingstall.it.harness.Pauses;
import org.wingstall.it.harness.Rows;
import org.wingstall.it.harness.TestFleet;
import org.wingstall.table.EditConflictException;
import org.wingstall.table.PlatformException;

/** Faults of all kinds in one run, by a seed; every promise is checked from the records at the end. */
public class CombinedFaultsTest {
    private static final int STEPS = 24;
    private static final long STEP_MS = 500;

    private TestFleet fleet;
    private final AtomicInteger accepted = new AtomicInteger();
    private final AtomicInteger conflicts = new AtomicInteger();

    /** Seeds; one that once failed stays. */
    @DataProvider
    Object[][] seeds() {
        String wanted = System.getProperty("it.seed");
        return wanted == null ? new Object[][] {{20261202L}, {7L}} : new Object[][] {{Long.parseLong(wanted)}};
    }

    @Test(dataProvider = "seeds")
    public void noPromiseBreaksUnderMixedFaults(long seed) throws InterruptedException {
        fleet = Fleets.six("combined", "shutdownNoticeMs: 600", "shutdownGraceMs: 8000");
        try {
            Calls calls = new Calls();
            AtomicBoolean over = new AtomicBoolean();
            Thread load = new Thread(() -> sendUntil(calls, over, new Random(seed + 1)));
            load.start();
            Random faults = new Random(seed);
            inject(faults);
            restartInTurn(faults);
            over.set(true);
            load.join();
            List<Calls.Call> done = calls.await();
            System.out.println("seed " + seed + ": " + Calls.outcomes(done) + ", edits accepted " + accepted
                    + ", conflicts " + conflicts);
            check(done);
        } finally {
            fleet.close();
        }
    }

    private void sendUntil(Calls calls, AtomicBoolean over, Random random) {
        for (int i = 0; !over.get(); i++) {
            TestFleet.Box box = anyBox(random);
            if (random.nextInt(3) == 0) {
                int key = random.nextInt(120);
                calls.send(box, "order", "order " + key, "mixed-" + key, false);
            } else {
                calls.send(box, "plan", "plan " + i, null, random.nextBoolean());
            }
            Pauses.ofMs(12);
        }
    }

    private void inject(Random random) {
        for (int step = 0; step < STEPS; step++) {
            healAll();
            TestFleet.Box box = anyBox(random);
            switch (random.nextInt(13)) {
                case 0 -> box.process().kill();
                case 1 -> box.process().freeze();
                case 2 -> box.process().terminate();
                case 3 -> fleet.cutDomain(box.domain(), true);
                case 4 -> fleet.cutFromPeers(box, true);
                default -> injectOutsideBoxes(random);
            }
            raceOperators(step);
            Pauses.ofMs(STEP_MS);
        }
        healAll();
        fleet.awaitStops(30);
        healAll();
        fleet.boxes().forEach(fleet::awaitReady);
    }

    private TestFleet.Box anyBox(Random random) {
        return fleet.boxes().get(random.nextInt(fleet.boxes().size()));
    }

    private void injectOutsideBoxes(Random random) {
        TestFleet.Box box = anyBox(random);
        TestFleet.Endpoint pool = fleet.endpoints("far").get(random.nextInt(2));
        TestFleet.Endpoint engine = fleet.endpoints("briza").get(random.nextInt(2));
        TestFleet.Endpoint ledger = fleet.endpoints("ledger").get(random.nextInt(2));
        switch (random.nextInt(8)) {
            case 0 -> fleet.platformFaults("{\"loseAnswerRate\": 0.5, \"lateRate\": 0.3, \"lateMs\": 900}");
            case 1 -> fleet.platformFaults("{\"silent\": true}");
            case 2 -> fleet.routeFaults(box.platformRoute(), "{\"cut\": true}");
            case 3 -> fleet.endpointFaults(engine, "{\"dieAfterTokens\": 4}");
            case 4 -> fleet.routeFaults(ledger.route(), "{\"dropAnswers\": true}");
            case 5 -> fleet.endpointFaults(pool, "{\"wrongId\": true}");
            case 6 -> fleet.endpointFaults(pool, "{\"refuse\": true}");
            default -> fleet.endpointFaults(engine, "{\"hang\": true}");
        }
    }

    /** A whole rolling restart, with faults of platform and endpoints that change from box to box. */
    private void restartInTurn(Random random) {
        for (TestFleet.Box box : fleet.boxes()) {
            healAll();
            injectOutsideBoxes(random);
            box.process().terminate();
            box.process().awaitExit(30);
            healAll();
            fleet.awaitReady(box);
        }
    }

    private void healAll() {
        fleet.healFaults();
        fleet.reviveBoxes();
    }

    private void raceOperators(int step) {
        for (int racer = 0; racer < 2; racer++) {
            String value = Integer.toString(100 + 2 * step + racer);
            CompletableFuture.runAsync(() -> {
                try {
                    fleet.table().overwrite("workspace/crew", "{\"name\": \"crew\", \"weight\": " + value + "}");
                    accepted.incrementAndGet();
                } catch (EditConflictException | PlatformException e) {
                    conflicts.incrementAndGet();
                }
            });
        }
    }

    private void check(List<Calls.Call> done) {
        Map<String, Integer> runs = new HashMap<>();
        Set<String> ran = new HashSet<>();
        for (String service : List.of("far", "briza", "ledger")) {
            for (JsonNode run : fleet.runs(service)) {
                ran.add(run.path("requestId").asText());
                if (service.equals("ledger")) {
                    runs.merge(run.path("key").asText(), 1, Integer::sum);
                }
            }
        }
        runs.forEach((key, count) -> assertEquals(count.intValue(), 1, "runs of " + key));
        Map<String, JsonNode> recorded = new HashMap<>();
        int complete = 0;
        for (Calls.Call call : done) {
            String outcome = call.outcome();
            if (outcome.equals("complete")) {
                complete++;
                checkOwn(call, recorded);
            } else if (outcome.equals("not-run")) {
                assertTrue(!ran.contains(call.answer().path("requestId").asText()), "ran after not-run: " + call);
            }
        }
        assertTrue(complete > done.size() / 2, Calls.outcomes(done).toString());
        long revision = fleet.boxes().stream().mapToLong(fleet::revision).max().orElseThrow();
        fleet.boxes().forEach(box -> org.awaitility.Awaitility.await()
                .atMost(java.time.Duration.ofSeconds(6))
                .until(() -> fleet.revision(box) >= revision));
    }

    private static void checkOwn(Calls.Call call, Map<String, JsonNode> recorded) {
        boolean order = call.pipeline().equals("order");
        String expected = order ? Rows.order(call.text()) : Rows.plan(call.text());
        assertEquals(Rows.output(call.answer()), expected);
        if (call.streamed()) {
            assertEquals(call.streamedText(), expected);
        }
        if (order) {
            JsonNode before = recorded.putIfAbsent(call.key(), call.answer());
            assertTrue(before == null || before.equals(call.answer()), "answers of " + call.key() + " differ");
        }
    }
}
