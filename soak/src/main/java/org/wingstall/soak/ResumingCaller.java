package org.wingstall.soak;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.util.List;
import java.util.SplittableRandom;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.PartialAnswer;

/** Takes streams that were broken off up again at whichever box. */
final class ResumingCaller implements Runnable {
    private static final String PATH = "/resumable/";
    private static final int MAX_TRIES = 4;

    /** Pause between two streams, in ms. */
    private static final long PAUSE_MS = 30;

    private final String name;
    private final SplittableRandom random;
    private final SoakFleet fleet;
    private final Observations observations;
    private final RunEnd end;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    ResumingCaller(String name, long seed, SoakFleet fleet, Observations observations, RunEnd end) {
        this.name = name;
        this.random = new SplittableRandom(seed * 61);
        this.fleet = fleet;
        this.observations = observations;
        this.end = end;
    }

    @Override
    public void run() {
        try {
            for (int number = 0; !end.over(); number++) {
                readStream(name + "." + number);
                end.within(PAUSE_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readStream(String streamId) throws InterruptedException {
        int after = 0;
        for (int number = 0; number < MAX_TRIES && after < SoakFleet.EVENTS; number++) {
            StreamTry last = send(streamId, number, after);
            observations.streamTried(last);
            if (last.looksComplete()) {
                return;
            }
            List<Integer> events = last.events();
            after = events.isEmpty() ? after : events.get(events.size() - 1);
        }
    }

    private StreamTry send(String streamId, int number, int after) throws InterruptedException {
        List<SoakFleet.Box> boxes = fleet.boxes();
        SoakFleet.Box box = boxes.get(random.nextInt(boxes.size()));
        String id = number == 0 ? streamId : streamId + "." + number;
        observations.sending(id, box.id(), box.process().life());
        long sentMs = observations.nowMs();
        PartialAnswer answer = PartialAnswer.of(client, request(box, id, streamId, after));
        return new StreamTry(streamId, box.id(), sentMs, observations.nowMs(), after, answer);
    }

    private static HttpRequest request(SoakFleet.Box box, String id, String streamId, int after) {
        HttpRequest.Builder request = CallerRequests.withOwnPrompt(
                CallerRequests.post(box.callerAddress(), PATH + id, id, Caller.DEADLINE_MS, "body of " + id), id);
        if (after > 0) {
            CallerRequests.resuming(request, streamId, after);
        }
        return CallerRequests.within(request, 2 * Caller.DEADLINE_MS);
    }
}
