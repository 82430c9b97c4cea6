package org.wingstall.core.quarantine;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.quarantine.SimulatedCrashFleet.Box;
import org.wingstall.core.quarantine.SimulatedCrashFleet.Sending;

/** A request that its caller repeats at other boxes ended a fourth endpoint while reports of its losses waited. */
public class RepeatedCrashTest {
    private static final int ENDPOINTS = 200;

    /** Endpoints that a request may end. */
    private static final int ALLOWED = 3;

    /** Time from a sending to the end of the endpoint, in ms. */
    private static final long CRASH_MS = 10;

    /** Time from the end of an attempt to the next one of the caller, in ms: longer than news takes to all boxes. */
    private static final long AGAIN_MS = 2 * SimulatedCrashFleet.MAX_TRANSIT_MS;

    private static final int TRIES = 40;
    private static final int SEEDS = 20;
    private static final Fingerprint CULPRIT = Fingerprint.of("canteen", "POST", "/culprit", new byte[0]);

    private int ended;

    @DataProvider
    Object[][] fleets() {
        return new Object[][] {{9, 9}, {80, 6}, {300, 14}};
    }

    /** A box sends twice at most, as routes allow, and other requests are not lost meanwhile. */
    @Test(dataProvider = "fleets")
    public void aRequestEndsNoMoreThanThreeEndpoints(int boxes, int hubs) {
        int mostBatched = 0;
        int framesBatched = 0;
        int mostFlooded = 0;
        int framesFlooded = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedCrashFleet batched = play(boxes, hubs, Sending.BATCHED, seed);
            mostBatched = Math.max(mostBatched, ended);
            framesBatched += batched.frames();
            SimulatedCrashFleet flooded = play(boxes, hubs, Sending.FLOODED, seed);
            mostFlooded = Math.max(mostFlooded, ended);
            framesFlooded += flooded.frames();
        }
        String figures = boxes + " boxes: most endpoints ended " + mostBatched + " with " + framesBatched / SEEDS
                + " frames, each report at once " + mostFlooded + " with " + framesFlooded / SEEDS + " frames";
        Reporter.log(figures, true);
        assertTrue(mostBatched <= ALLOWED, figures);
    }

    private SimulatedCrashFleet play(int boxes, int hubs, Sending sending, int seed) {
        SimulatedCrashFleet fleet = new SimulatedCrashFleet(boxes, hubs, sending, seed);
        Random random = new Random(seed);
        ended = 0;
        for (int i = 0; i < TRIES; i++) {
            Box box = fleet.box(random.nextInt(boxes));
            attempt(fleet, box);
            attempt(fleet, box);
            fleet.advance(AGAIN_MS);
        }
        return fleet;
    }

    /** Sends the request if the box would, at once or as a trial, to an endpoint that it ends. */
    private void attempt(SimulatedCrashFleet fleet, Box box) {
        boolean refused = box.quarantine
                .refusal(() -> CULPRIT)
                .filter(refusal -> refusal.reason() != Reason.PROMPT_PART_ON_TRIAL)
                .isPresent();
        if (refused || ended >= ENDPOINTS) {
            return;
        }
        String endpoint = "e" + ended;
        ended++;
        long sentAtMs = fleet.nowMs();
        Optional<String> trial = box.quarantine.sent(() -> CULPRIT, endpoint);
        fleet.advance(CRASH_MS);
        box.quarantine.endpointLost(List.of(CULPRIT), endpoint, sentAtMs);
        trial.ifPresent(id -> box.quarantine.endTrial(CULPRIT, id));
    }
}
