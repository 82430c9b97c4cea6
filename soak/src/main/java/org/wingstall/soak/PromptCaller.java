package org.wingstall.soak;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.SplittableRandom;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.CrashingEndpoint;

/**
 * Sends prompts to whichever box, of which some have a part that crashes endpoints; no two requests are alike. The service
 * that they go to serves nothing else, so that other promises stay what they are.
 */
final class PromptCaller implements Runnable {
    private static final String PATH = "/prompted/1";
    private static final String SYSTEM = "5957";
    private static final int SUBJECTS = 5;

    /** One of so many requests has the crashing part. */
    private static final int CRASHING_OF = 4;

    /** Pause between two requests, in ms. */
    private static final long PAUSE_MS = 60;

    private static final int OK = 200;

    private final String name;
    private final SplittableRandom random;
    private final SoakFleet fleet;
    private final Observations observations;
    private final RunEnd end;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private int number;

    PromptCaller(String name, long seed, SoakFleet fleet, Observations observations, RunEnd end) {
        this.name = name;
        this.random = new SplittableRandom(seed);
        this.fleet = fleet;
        this.observations = observations;
        this.end = end;
    }

    @Override
    public void run() {
        try {
            while (!end.over()) {
                callOnce();
                end.within(PAUSE_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void callOnce() throws InterruptedException {
        SoakFleet.Box box = fleet.boxes().get(random.nextInt(fleet.boxes().size()));
        String id = name + "." + number++;
        boolean crashing = random.nextInt(CRASHING_OF) == 0;
        String second = crashing ? CrashingEndpoint.CRASHING_PART : "50" + random.nextInt(SUBJECTS);
        long sentMs = observations.nowMs();
        if (crashing) {
            observations.repeated(id, box.id());
        }
        boolean served = send(box, id, List.of(SYSTEM, second, "0a" + number));
        if (!crashing) {
            observations.promptCalled(new PromptCall(box.id(), sentMs, observations.nowMs(), served));
        }
    }

    private boolean send(SoakFleet.Box box, String id, List<String> parts) throws InterruptedException {
        HttpRequest.Builder request =
                CallerRequests.post(box.callerAddress(), PATH, id, Caller.DEADLINE_MS, "body of " + id);
        try {
            return client.send(
                                    CallerRequests.within(
                                            CallerRequests.withPrompt(request, parts), 2 * Caller.DEADLINE_MS),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == OK;
        } catch (IOException e) {
            // The box is down or its endpoint ended; the promises count what endpoints saw, and first attempts.
            return false;
        }
    }
}
