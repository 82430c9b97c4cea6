package org.wingstall.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Fleets;
import org.wingstall.it.harness.Http;
import org.wingstall.it.harness.Pauses;
import org.wingstall.it.harness.TestFleet;
import org.wingstall.table.EditConflictException;
import org.wingstall.table.PlatformException;

/** Promise 7: a configuration, once accepted, is in force everywhere within seconds and never reverts. */
public class ConfigurationTest {
    private static final Duration WITHIN = Duration.ofSeconds(6);

    private TestFleet fleet;
    private final ConcurrentLinkedQueue<String> reversions = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean sampling = new AtomicBoolean();
    private Thread sampler;

    @BeforeClass
    public void startFleet() {
        fleet = Fleets.three("configuration");
        sampling.set(true);
        sampler = new Thread(this::sample);
        sampler.start();
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() throws InterruptedException {
        sampling.set(false);
        sampler.join();
        fleet.close();
    }

    /** Heals every fault, sets the cell back, and looks whether any gateway went back meanwhile. */
    @AfterMethod(alwaysRun = true)
    public void heal() throws EditConflictException, PlatformException {
        fleet.platformFaults("{}");
        fleet.cutDomain("mangalia", false);
        fleet.boxes().forEach(box -> fleet.routeFaults(box.platformRoute(), "{}"));
        fleet.boxes().stream().filter(box -> !box.process().alive()).forEach(box -> box.process()
                .restart());
        fleet.boxes().forEach(fleet::awaitReady);
        fleet.table().overwrite("workspace/crew", "{\"name\": \"crew\", \"weight\": 1}");
        assertEquals(List.copyOf(reversions), List.of());
    }

    /** Watches that no life of a gateway ever goes back to a lower revision. */
    private void sample() {
        Map<String, Long> highest = new HashMap<>();
        while (sampling.get()) {
            for (TestFleet.Box box : fleet.boxes()) {
                long revision = fleet.revision(box);
                if (revision < 0) {
                    highest.remove(box.id());
                } else if (revision < highest.getOrDefault(box.id(), 0L)) {
                    reversions.add(box.id() + " went from " + highest.get(box.id()) + " to " + revision);
                } else {
                    highest.put(box.id(), revision);
                }
            }
            Pauses.ofMs(20);
        }
    }

    private long awaitInForce(long revision, List<TestFleet.Box> boxes) {
        long beganMs = System.currentTimeMillis();
        for (TestFleet.Box box : boxes) {
            Awaitility.await("revision " + revision + " at " + box.id())
                    .atMost(WITHIN)
                    .pollInterval(Duration.ofMillis(20))
                    .until(() -> fleet.revision(box) >= revision);
        }
        return System.currentTimeMillis() - beganMs;
    }

    @Test
    public void editsAreInForceEverywhereWithinSeconds() throws EditConflictException, PlatformException {
        List<Long> tookMs = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            long revision = fleet.table().set("workspace/crew", "weight", Integer.toString(i), Integer.toString(i + 1));
            tookMs.add(awaitInForce(revision, fleet.boxes()));
        }
        System.out.println("in force everywhere after ms: " + tookMs);
    }

    @Test
    public void ofTwoRacingEditsOfACellOneIsAcceptedAndTheOtherGetsBothValues() {
        int conflicts = 0;
        String now = "1";
        for (int round = 0; round < 10; round++) {
            String before = now;
            List<CompletableFuture<String>> racers = new ArrayList<>();
            for (int racer = 0; racer < 2; racer++) {
                String wanted = Integer.toString(10 + 2 * round + racer);
                racers.add(CompletableFuture.supplyAsync(() -> race(before, wanted)));
            }
            List<String> results = racers.stream().map(CompletableFuture::join).toList();
            List<String> won =
                    results.stream().filter(r -> !r.startsWith("conflict")).toList();
            assertEquals(won.size(), 1, results.toString());
            now = won.get(0);
            String expected = "workspace/crew.weight changed: expected " + before + ", found " + now;
            assertTrue(results.contains("conflict " + expected), results.toString());
            conflicts++;
        }
        assertEquals(conflicts, 10);
    }

    private String race(String before, String wanted) {
        try {
            fleet.table().set("workspace/crew", "weight", before, wanted);
            return wanted;
        } catch (EditConflictException e) {
            return "conflict " + e.getMessage();
        } catch (PlatformException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    public void anEditWhoseAnswerIsLostTakesEffectOnce() throws EditConflictException, PlatformException {
        fleet.platformFaults("{\"loseAnswerRate\": 0.7}");
        long first = 0;
        for (int i = 1; i <= 8; i++) {
            String editId = UUID.randomUUID().toString();
            long revision = fleet.table()
                    .set(
                            fleet.table().editor(),
                            editId,
                            "workspace/crew",
                            "weight",
                            Integer.toString(i),
                            Integer.toString(i + 1));
            assertTrue(first == 0 || revision == first + 1, "an edit took effect twice");
            first = revision;
        }
        fleet.platformFaults("{}");
        awaitInForce(first, fleet.boxes());
    }

    @Test
    public void aDomainCutOffGoesOnServingAndCatchesUpWhenJoined() throws EditConflictException, PlatformException {
        long before = fleet.revision(fleet.box("box-c"));
        fleet.cutDomain("mangalia", true);
        long revision = fleet.table().set("workspace/crew", "weight", "1", "5");
        awaitInForce(revision, List.of(fleet.box("box-a"), fleet.box("box-b")));
        Calls calls = new Calls();
        for (int i = 0; i < 20; i++) {
            calls.send(fleet.box("box-c"), "plan", "cut off " + i, null, false);
        }
        assertEquals(Calls.outcomes(calls.await()), Map.of("complete", 20));
        assertEquals(fleet.revision(fleet.box("box-c")), before);
        fleet.cutDomain("mangalia", false);
        long tookMs = awaitInForce(revision, fleet.boxes());
        System.out.println("caught up after ms: " + tookMs);
    }

    @Test
    public void aDomainCutOffFromThePlatformAloneFollowsItsPeers() throws EditConflictException, PlatformException {
        fleet.routeFaults(fleet.box("box-c").platformRoute(), "{\"cut\": true}");
        long revision = fleet.table().set("workspace/crew", "weight", "1", "6");
        System.out.println("by peers after ms: " + awaitInForce(revision, fleet.boxes()));
    }

    @Test
    public void staleReadsOfThePlatformTakeNothingBack() throws EditConflictException, PlatformException {
        fleet.admin("/admin/snapshot", TestFleet.tree("{}"));
        long revision = fleet.table().set("workspace/crew", "weight", "1", "8");
        awaitInForce(revision, fleet.boxes());
        fleet.platformFaults("{\"stale\": true}");
        TestFleet.Box restarted = fleet.box("box-a");
        restarted.process().kill();
        restarted.process().restart();
        fleet.awaitReady(restarted);
        for (TestFleet.Box box : fleet.boxes()) {
            Awaitility.await(box.id() + " has read the stale revision")
                    .atMost(WITHIN)
                    .until(() -> fleet.metric(box, "wingstall_platform_revision") == revision - 1);
        }
        awaitInForce(revision, fleet.boxes());
    }

    @Test
    public void aGatewayRestartedWithoutThePlatformStartsFromItsPeers()
            throws EditConflictException, PlatformException {
        long revision = fleet.table().set("workspace/crew", "weight", "1", "7");
        awaitInForce(revision, fleet.boxes());
        fleet.platformFaults("{\"down\": true}");
        TestFleet.Box box = fleet.box("box-b");
        box.process().kill();
        box.process().restart();
        fleet.awaitReady(box);
        assertEquals(fleet.revision(box), revision);
        Calls calls = new Calls();
        calls.send(box, "plan", "after restart", null, false);
        assertEquals(Calls.outcomes(calls.await()), Map.of("complete", 1));
    }

    @Test
    public void aGatewayWithNeitherPlatformNorPeersIsNotReadyAndSaysWhy() throws IOException {
        TestFleet.Box box = fleet.box("box-c");
        box.process().kill();
        fleet.routeFaults(box.platformRoute(), "{\"cut\": true}");
        fleet.box("box-a").process().kill();
        fleet.box("box-b").process().kill();
        box.process().restart();
        Awaitility.await().atMost(Duration.ofSeconds(20)).until(() -> fleet.revision(box) == 0);
        Http.Reply reply = Http.get(box.operator(), "/readyz");
        assertEquals(reply.status(), 503);
        assertTrue(reply.body().startsWith("no-configuration"), reply.body());
        Calls calls = new Calls();
        calls.send(box, "plan", "too early", null, false);
        assertEquals(calls.await().get(0).answer().path("reason").asText(), "not-ready");
    }
}
