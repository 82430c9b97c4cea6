package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.CrashingEndpoint;
import org.wingstall.standin.fleet.CrashingEndpoint.CrashingRun;
import org.wingstall.standin.fleet.WorkerStandin;

/**
 * A caller's request ended each engine that began to run it, about 100 ms after its head had come, and came again every one or
 * two seconds at whichever box the balancer picked. Twelve incarnations of thirteen engines ended within 15 s, and callers of other
 * requests lost their streams with them.
 *
 * <p>No box counted beyond one attempt of the caller: each of thirteen lines {@code endpoint-lost-midway} had one endpoint in
 * its {@code attempts}, at seven different boxes, so every sending was a first one to its box.
 */
public class RelayQuarantineTest {
    private static final int BOXES = 3;
    private static final int ENDPOINTS = 6;

    /** Losses after which a request is held back, and the sendings that may still come later than {@link #KNOWN_MS}. */
    private static final int LOSSES = 3;

    private static final int LATER_SENDINGS = 3;

    /** Time within which all boxes know that a request has ended its third endpoint, in ms. */
    private static final long KNOWN_MS = 3000;

    private static final long REPEATED_MS = 7000;
    private static final long PAUSE_MS = 40;
    private static final String CRASHING = "please " + CrashingEndpoint.CRASH;

    private final AtomicInteger ids = new AtomicInteger();
    private CrashingFleet fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new CrashingFleet(ENDPOINTS);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    private String nextId() {
        return "request-" + ids.incrementAndGet();
    }

    private Optional<RelayBox.Reply> crash(RelayBox box, String route) {
        return box.postBody(route, nextId(), CRASHING);
    }

    /** Sends the crashing request to one box after the other for a time. */
    private void repeat(String route, long forMs) {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(forMs);
        for (int i = 0; System.nanoTime() < untilNs; i++) {
            crash(fleet.boxes().get(i % fleet.boxes().size()), route);
            Pauses.ofMs(PAUSE_MS);
        }
    }

    private void awaitKnown() {
        Awaitility.await().atMost(KNOWN_MS, TimeUnit.MILLISECONDS).until(() -> fleet.boxes().stream()
                .allMatch(box -> box.metrics().contains("wingstall_requests_held_back 1.0")));
    }

    private List<CrashingRun> laterThanKnown() {
        assertTrue(fleet.crashingRuns().size() >= LOSSES, "only " + fleet.crashingRuns());
        return fleet.runsLaterThan(fleet.crashedAtMs(LOSSES) + KNOWN_MS);
    }

    private void assertHeldBack() {
        List<CrashingRun> later = laterThanKnown();
        assertTrue(later.size() <= LATER_SENDINGS, fleet.crashed() + " ended; sent later: " + later);
    }

    @DataProvider
    Object[][] routes() {
        return new Object[][] {{"stream"}, {"resumable"}, {"once"}, {"repeatable"}};
    }

    @Test(dataProvider = "routes")
    public void aRequestThatCrashesItsEndpointsIsHeldBackAtEveryBox(String route) throws Exception {
        fleet.awaitLinks();
        repeat(route, REPEATED_MS);
        assertHeldBack();
        // Repeats came one after the other, so each loss was known before the next sending.
        assertEquals(fleet.crashed(), LOSSES);
        for (RelayBox box : fleet.boxes()) {
            RelayBox.Reply refusal = crash(box, route).orElseThrow();
            assertEquals(refusal.status(), 503);
            assertTrue(refusal.body().contains("quarantined"), refusal.body());
            assertTrue(box.metrics().contains("reason=\"quarantined\"}"), box.metrics());
            assertEquals(box.post(route, nextId()).status(), 200);
        }
    }

    /** Several callers send it at once, so that some sendings leave before the losses of others are known. */
    @Test
    public void repeatsThatComeTogetherAreHeldBackToo() throws Exception {
        fleet.awaitLinks();
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int i = 0; i < 2 * BOXES; i++) {
            callers.add(CompletableFuture.runAsync(() -> repeat("stream", REPEATED_MS)));
        }
        callers.forEach(CompletableFuture::join);
        assertHeldBack();
    }

    @Test
    public void aBoxThatStartsLaterHoldsItBack() throws Exception {
        fleet.awaitLinks();
        repeat("stream", REPEATED_MS);
        RelayBox late = fleet.startBox("late");
        awaitKnown();
        long before = fleet.crashed();
        assertEquals(crash(late, "stream").orElseThrow().status(), 503);
        assertEquals(fleet.crashed(), before);
    }

    @Test
    public void itIsHeldBackAfterAllBoxesHaveStartedAnew() throws Exception {
        fleet.awaitLinks();
        repeat("stream", KNOWN_MS);
        fleet.closeBoxes();
        for (int i = 0; i < BOXES; i++) {
            fleet.startBox("box-" + i);
        }
        awaitKnown();
        repeat("stream", KNOWN_MS);
        assertHeldBack();
    }

    /** A box took each row that it read at its start for news, so every start of a box held requests back for ten minutes more. */
    @Test
    public void aHoldDoesNotBeginAnewWithTheStartOfABox() throws Exception {
        fleet.awaitLinks();
        repeat("stream", KNOWN_MS);
        assertEquals(fleet.crashed(), LOSSES);
        fleet.closeBoxes();
        fleet.standin().store().advance(TimeUnit.MINUTES.toMillis(11));
        RelayBox box = fleet.startBox("later");
        awaitReports(box);
        crash(box, "stream");
        assertEquals(fleet.crashed(), LOSSES + 1);
        assertEquals(crash(box, "stream").orElseThrow().status(), 503);
        assertEquals(fleet.crashed(), LOSSES + 1);
    }

    private static void awaitReports(RelayBox box) {
        Awaitility.await().until(() -> box.quarantine().contains("\"losses\""));
    }

    /** Boxes that never hear each other, but reach the store. */
    @Test
    public void itIsHeldBackByBoxesThatAreCutOffFromEachOther() throws Exception {
        fleet.closeBoxes();
        fleet.standin().store().hide("boxes");
        for (int i = 0; i < BOXES; i++) {
            fleet.startBox("cut-" + i);
        }
        repeat("stream", REPEATED_MS);
        assertHeldBack();
    }

    /**
     * A piece crashes the endpoint of its stage, and with it the calls for other requests' pieces. Before, each request sent it
     * to three endpoints, and its repeats to three more.
     */
    @Test
    public void aPieceThatCrashesItsEndpointsIsHeldBackToo() throws Exception {
        for (int i = 0; i < 4; i++) {
            fleet.add("first", "f" + i, 0);
        }
        fleet.standin().add("second", "east", "s1", new WorkerStandin("s1", 0, 20));
        fleet.awaitLinks();
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REPEATED_MS);
        for (int i = 0; System.nanoTime() < untilNs; i++) {
            fleet.boxes().get(i % BOXES).postPiece(nextId(), CrashingEndpoint.CRASH);
            fleet.boxes().get(i % BOXES).postPiece(nextId(), "innocent-" + i);
            Pauses.ofMs(PAUSE_MS);
        }
        assertHeldBack();
        assertEquals(fleet.crashed(), LOSSES);
        for (RelayBox box : fleet.boxes()) {
            RelayBox.Reply refusal =
                    box.postPiece(nextId(), CrashingEndpoint.CRASH).orElseThrow();
            assertEquals(refusal.status(), 503);
            assertTrue(refusal.body().contains("quarantined"), refusal.body());
            assertEquals(box.postPiece(nextId(), "innocent").orElseThrow().status(), 200);
        }
    }

    /** Beside the crashing one runs a request that many callers send with the same path and body. */
    @Test
    public void aPopularRequestBesideItIsServed() throws Exception {
        fleet.awaitLinks();
        AtomicBoolean over = new AtomicBoolean();
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (RelayBox box : fleet.boxes()) {
            for (int i = 0; i < 4; i++) {
                callers.add(CompletableFuture.runAsync(() -> {
                    while (!over.get()) {
                        box.postBody("resumable", nextId(), "popular");
                    }
                }));
            }
        }
        repeat("resumable", REPEATED_MS);
        over.set(true);
        callers.forEach(CompletableFuture::join);
        assertHeldBack();
        for (RelayBox box : fleet.boxes()) {
            assertEquals(
                    box.postBody("resumable", nextId(), "popular").orElseThrow().status(), 200);
        }
    }
}
