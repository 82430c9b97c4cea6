package org.wingstall.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.quarantine.SimulatedCrashFleet.Box;
import org.wingstall.core.quarantine.SimulatedCrashFleet.Sending;

/**
 * Tests crash reports in a fleet with hubs. Guards against floods: a hundred connections that were reset within seconds
 * made each box forward each report in a frame of its own on each of its links.
 */
public class CrashBurstTest {
    private static final int BOXES = 80;
    private static final int HUBS = 6;
    private static final int LOSSES = 100;
    private static final long BURST_MS = 4000;

    /** A record holds 32 endpoints; boxes that learn of more in different order keep different ones. */
    private static final int ENDPOINTS = 32;

    /** From the observer to a hub, and from there to the other boxes. */
    private static final long TWO_HOPS_MS = 2 * (ReportOutbox.FORWARDING_MS + SimulatedCrashFleet.MAX_TRANSIT_MS);

    private static final Fingerprint CULPRIT = request("culprit");
    private static final Fingerprint PART = Fingerprint.ofPart("llm", "m", "5957");

    private static Fingerprint request(String path) {
        return Fingerprint.of("canteen", "POST", "/" + path, new byte[0]);
    }

    private static SimulatedCrashFleet fleet(long seed) {
        return new SimulatedCrashFleet(BOXES, HUBS, Sending.BATCHED, seed);
    }

    private static void lose(Box box, Fingerprint request, String endpoint, long sentAtMs) {
        box.quarantine.endpointLost(List.of(request), endpoint, sentAtMs);
    }

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}, {5}};
    }

    /** Connections to endpoints that go on are reset, and their next answers withdraw the losses. */
    private static SimulatedCrashFleet burst(Sending sending, long seed) {
        SimulatedCrashFleet fleet = new SimulatedCrashFleet(BOXES, HUBS, sending, seed);
        Random random = new Random(seed);
        for (int i = 0; i < LOSSES; i++) {
            Box box = fleet.box(random.nextInt(BOXES));
            long atMs = random.nextInt((int) BURST_MS);
            Fingerprint request = request("" + i);
            String endpoint = "e" + random.nextInt(ENDPOINTS);
            List<Fingerprint> parts = List.of(
                    Fingerprint.ofPart("llm", "m", "system"),
                    Fingerprint.ofPart("llm", "m", "subject-" + random.nextInt(20)),
                    Fingerprint.ofPart("llm", "m", "own-" + i));
            fleet.after(atMs, () -> box.quarantine.endpointLost(request, parts, endpoint, fleet.nowMs() - 100));
            fleet.after(atMs + 300, () -> box.quarantine.endpointAnswered(endpoint, fleet.nowMs() - 100));
        }
        return fleet.advance(BURST_MS + 300 + TWO_HOPS_MS);
    }

    @Test(dataProvider = "seeds")
    public void burstTakesFewerFramesAndReportsThanAFlood(int seed) {
        SimulatedCrashFleet flooded = burst(Sending.FLOODED, seed);
        SimulatedCrashFleet batched = burst(Sending.BATCHED, seed);
        Reporter.log(
                "flooded: " + flooded.frames() + " frames, " + flooded.reports() + " reports; batched: "
                        + batched.frames() + " frames, " + batched.reports() + " reports",
                true);
        assertTrue(batched.frames() < flooded.frames());
        assertTrue(batched.reports() < flooded.reports());
        for (Box box : batched.alive()) {
            assertEquals(SimulatedCrashFleet.known(box), SimulatedCrashFleet.known(batched.box(0)), box.name());
        }
        // An undelayed frame and one of reports that had to wait.
        assertTrue(batched.mostFramesOfALinkWithin(ReportOutbox.FORWARDING_MS) <= 2);
    }

    @DataProvider
    Object[][] observers() {
        return new Object[][] {{"hub", 0}, {"box without work for others", 79}};
    }

    /** Other boxes avoid the endpoint within milliseconds, in a fleet in which nothing else is lost. */
    @Test(dataProvider = "observers")
    public void firstLossIsKnownWithoutDelay(String observer, int number) {
        SimulatedCrashFleet fleet = fleet(1);
        lose(fleet.box(number), CULPRIT, "e1", fleet.nowMs());
        fleet.advance(2 * SimulatedCrashFleet.MAX_TRANSIT_MS);
        for (Box box : fleet.alive()) {
            assertTrue(box.number == number || box.lossHeardAtMs("e1") != null, observer + ", " + box.name());
        }
    }

    /** Guards against a fleet that hears nothing of a loss because the box that forwards it ends. */
    @Test(dataProvider = "seeds")
    public void lossesAreKnownWhenAHubDiesWithReportsPending(int seed) {
        SimulatedCrashFleet fleet = fleet(seed);
        Random random = new Random(seed);
        lose(fleet.box(HUBS + random.nextInt(70)), request("before"), "e0", fleet.nowMs());
        fleet.advance(random.nextInt(20));
        Box observer = fleet.box(HUBS + random.nextInt(70));
        lose(observer, CULPRIT, "e1", fleet.nowMs());
        fleet.advance(random.nextInt((int) ReportOutbox.FORWARDING_MS));
        Box hub = fleet.box(random.nextInt(HUBS));
        fleet.kill(hub);
        fleet.advance(TWO_HOPS_MS);
        for (Box box : fleet.alive()) {
            assertTrue(box == observer || box.lossHeardAtMs("e1") != null, box.name());
            assertTrue(box.quarantine.isSuspected(() -> CULPRIT), box.name());
        }
    }

    @DataProvider
    Object[][] cuts() {
        return new Object[][] {{"hub", 2, 100}, {"hub", 2, 30_000}, {"box", 70, 100}, {"box", 70, 30_000}};
    }

    /** Each side of a new link gets what it lacks, whichever of them dialed it. */
    @Test(dataProvider = "cuts")
    public void linkThatOpensLaterCarriesWhatEachSideLacks(String what, int number, long cutMs) {
        SimulatedCrashFleet fleet = fleet(number);
        Box cut = fleet.box(number);
        fleet.cut(cut);
        lose(fleet.box(79), CULPRIT, "e1", fleet.nowMs());
        lose(cut, request("other"), "e2", fleet.nowMs());
        fleet.advance(cutMs);
        fleet.link(cut);
        fleet.advance(TWO_HOPS_MS);
        for (Box box : fleet.alive()) {
            assertTrue(box.quarantine.isSuspected(() -> CULPRIT), box.name());
            assertTrue(box.quarantine.isSuspected(() -> request("other")), box.name());
        }
    }

    /** Both sides know the same, so one of them sends nothing. */
    @Test
    public void boxThatWasDialedSendsNothingThatItWasTold() {
        SimulatedCrashFleet fleet = burst(Sending.BATCHED, 1);
        Box box = fleet.box(79);
        int reports = fleet.reports();
        fleet.cut(box);
        fleet.link(box);
        fleet.advance(TWO_HOPS_MS);
        assertEquals(fleet.reports() - reports, HUBS * box.quarantine.reports().size());
    }

    @Test(dataProvider = "seeds")
    public void requestIsRefusedAfterThreeLossesWhicheverBoxesItReaches(int seed) {
        SimulatedCrashFleet fleet = fleet(seed);
        for (int i = 0; i < 3; i++) {
            lose(fleet.anyBox(), CULPRIT, "e" + i, fleet.nowMs());
            fleet.advance(TWO_HOPS_MS);
        }
        for (Box box : fleet.alive()) {
            QuarantineRefusal refusal =
                    box.quarantine.refusal(() -> CULPRIT).orElseThrow(() -> new AssertionError(box.name()));
            assertEquals(refusal.reason(), Reason.QUARANTINED);
        }
    }

    @DataProvider
    Object[][] suspects() {
        return new Object[][] {
            {"request", false, 1000}, {"request", false, 15_000}, {"part", true, 1000}, {"part", true, 15_000}
        };
    }

    /**
     * Guards against a new link without old single losses: the box that had observed the first loss while it was cut off
     * ends soon after it is linked again, and a fourth request would be sent.
     */
    @Test(dataProvider = "suspects")
    public void lossOfABoxThatWasCutOffCountsAfterItEnds(String name, boolean part, long cutMs) {
        SimulatedCrashFleet fleet = fleet(cutMs);
        Box cut = fleet.box(40);
        fleet.cut(cut);
        loseWithPart(cut, 0, part, fleet.nowMs());
        fleet.advance(cutMs);
        fleet.link(cut);
        fleet.advance(TWO_HOPS_MS);
        fleet.kill(cut);
        for (int i = 1; i < 3; i++) {
            fleet.advance(1000);
            loseWithPart(fleet.box(50 + i), i, part, fleet.nowMs());
        }
        fleet.advance(TWO_HOPS_MS);
        Fingerprint suspect = part ? PART : CULPRIT;
        for (Box box : fleet.alive()) {
            QuarantineRefusal refusal = box.quarantine.refusal(() -> suspect).orElse(null);
            assertNotNull(refusal, box.name());
            assertEquals(refusal.reason(), part ? Reason.PROMPT_PART_QUARANTINED : Reason.QUARANTINED, box.name());
        }
    }

    private static void loseWithPart(Box box, int number, boolean part, long sentAtMs) {
        if (part) {
            box.quarantine.endpointLost(request("" + number), List.of(PART), "e" + number, sentAtMs);
        } else {
            lose(box, CULPRIT, "e" + number, sentAtMs);
        }
    }

    /**
     * Guards against two trials of a suspect that start at once and make each box forget the other one, so that their
     * starts are forwarded over and over.
     */
    @Test(dataProvider = "seeds")
    public void trialsThatStartTogetherAreForwardedOnce(int seed) {
        SimulatedCrashFleet fleet = fleet(seed);
        lose(fleet.box(40), CULPRIT, "e1", fleet.nowMs());
        lose(fleet.box(41), CULPRIT, "e2", fleet.nowMs());
        fleet.advance(TWO_HOPS_MS);
        int before = fleet.frames();
        fleet.box(50).quarantine.sent(() -> CULPRIT, "e3");
        fleet.box(60).quarantine.sent(() -> CULPRIT, "e4");
        int mostFrames = 2 * 2 * BOXES * HUBS;
        for (int i = 0; i < 100 && fleet.frames() - before <= mostFrames; i++) {
            fleet.advance(1);
        }
        assertTrue(fleet.frames() - before <= mostFrames, "frames: " + (fleet.frames() - before));
    }
}
