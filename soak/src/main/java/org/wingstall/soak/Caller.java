package org.wingstall.soak;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.SplittableRandom;
import org.wingstall.soak.CallRecord.Route;
import org.wingstall.standin.fleet.CallerRequests;

/**
 * Sends one request after another, over one connection as long as the box keeps it: also while the box stops.
 *
 * <p>{@code new Thread(new Caller("caller-1", 7, fleet, observations, end)).start();}
 *
 * @since 0.3
 */
final class Caller implements Runnable {
    /** Time that a caller gives its requests, in ms; as that of the shorter routes of the platform's pages. */
    static final long DEADLINE_MS = 4000;

    /** Time beyond the deadline after which a caller counts a request as unanswered, in ms. */
    private static final long GIVE_UP_MS = 8000;

    /** Requests after which a caller goes to another box now and then. */
    private static final int STAY_REQUESTS = 40;

    /** Pause after a connection that could not be had, in ms; a box needs about as long to start. */
    private static final long PAUSE_MS = 50;

    private final String name;
    private final SplittableRandom random;
    private final SoakFleet fleet;
    private final Observations observations;
    private final RunEnd end;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    Caller(String name, long seed, SoakFleet fleet, Observations observations, RunEnd end) {
        this.name = name;
        this.random = new SplittableRandom(seed);
        this.fleet = fleet;
        this.observations = observations;
        this.end = end;
    }

    @Override
    public void run() {
        int number = 0;
        try {
            while (!end.over()) {
                List<SoakFleet.Box> boxes = fleet.boxes();
                SoakFleet.Box box = boxes.get(random.nextInt(boxes.size()));
                boolean answered = true;
                for (int i = 0; i < STAY_REQUESTS && answered && !end.over(); i++) {
                    Route route = Route.values()[random.nextInt(Route.values().length)];
                    answered = call(box, route, name + "." + number++);
                }
                if (!answered) {
                    end.within(PAUSE_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a request and notes what came back; returns whether it was a whole answer. */
    boolean call(SoakFleet.Box box, Route route, String id) throws InterruptedException {
        int life = box.process().life();
        observations.sending(id, box.id(), life);
        long sentMs = observations.nowMs();
        int status = 0;
        String answerId = null;
        String seal = null;
        String body = "";
        try {
            HttpResponse<String> reply = client.send(request(box, route, id), HttpResponse.BodyHandlers.ofString());
            status = reply.statusCode();
            answerId = CallerRequests.answerId(reply.headers());
            seal = CallerRequests.seal(reply.headers());
            body = reply.body();
        } catch (IOException e) {
            body = String.valueOf(e);
        }
        long endedMs = observations.nowMs();
        observations.called(new CallRecord(id, route, box.id(), life, sentMs, endedMs, status, answerId, seal, body));
        return status != 0;
    }

    private static HttpRequest request(SoakFleet.Box box, Route route, String id) {
        String path = "/" + route.path() + "/" + id;
        return CallerRequests.within(
                CallerRequests.post(box.callerAddress(), path, id, DEADLINE_MS, "body of " + id),
                DEADLINE_MS + GIVE_UP_MS);
    }
}
