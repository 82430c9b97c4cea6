package org.wingstall.soak;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.util.SplittableRandom;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.CrashingEndpoint;

/**
 * Repeats one request, at whichever box, that crashes the endpoints that run it. The service that it goes to serves nothing
 * else, so that other promises stay what they are.
 */
final class CrashingCaller implements Runnable {
    /** Path of the request. */
    private static final String PATH = "/fragile/1";

    /** Pause between two repeats, in ms. */
    private static final long PAUSE_MS = 100;

    /** Never comes: what waits for it waits its time. */
    private static final RunEnd PAUSE = new RunEnd();

    private final SplittableRandom random;
    private int number;
    private final SoakFleet fleet;
    private final Observations observations;
    private final RunEnd end;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    CrashingCaller(long seed, SoakFleet fleet, Observations observations, RunEnd end) {
        this.random = new SplittableRandom(seed);
        this.fleet = fleet;
        this.observations = observations;
        this.end = end;
    }

    @Override
    public void run() {
        try {
            while (!end.over()) {
                repeatOnce();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Goes on for a time after the last fault, when no fault excuses a sending any more. */
    void repeatFor(long forMs) throws InterruptedException {
        long untilMs = observations.nowMs() + forMs;
        while (observations.nowMs() < untilMs) {
            repeatOnce();
            PAUSE.within(PAUSE_MS);
        }
    }

    private void repeatOnce() throws InterruptedException {
        SoakFleet.Box box = fleet.boxes().get(random.nextInt(fleet.boxes().size()));
        repeat(box, "crashing." + number++);
        end.within(PAUSE_MS);
    }

    private void repeat(SoakFleet.Box box, String id) throws InterruptedException {
        observations.repeated(id, box.id());
        try {
            client.send(
                    CallerRequests.within(
                            CallerRequests.post(
                                    box.callerAddress(), PATH, id, Caller.DEADLINE_MS, CrashingEndpoint.CRASH),
                            2 * Caller.DEADLINE_MS),
                    HttpResponse.BodyHandlers.discarding());
        } catch (IOException e) {
            // The box is down or its endpoint ended; what counts is what endpoints saw.
            end.within(PAUSE_MS);
        }
    }
}
