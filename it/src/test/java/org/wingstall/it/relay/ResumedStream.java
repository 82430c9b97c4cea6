package org.wingstall.it.relay;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.PartialAnswer;

/** A caller that reads one stream to its end, and takes it up again whenever it breaks off. */
final class ResumedStream {
    private static final int NOT_RUN = 503;
    private static final int OK = 200;

    /** Pause between two tries, in ms. */
    private static final long PAUSE_MS = 100;

    private static final double MS_PER_SECOND = 1000;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String id;
    private final int length;
    private final List<Integer> events = new ArrayList<>();
    private final TreeSet<String> writers = new TreeSet<>();
    private final List<Refusal> refusals = new ArrayList<>();
    private int tries;
    private boolean whole;
    private boolean wentOnAfterFinalRefusal;

    /** A try that was stated not to have run. */
    record Refusal(String id, Optional<String> retryAfter, String detail) {
        boolean isFinal() {
            return retryAfter.isEmpty();
        }
    }

    ResumedStream(String id, int length) {
        this.id = id;
        this.length = length;
    }

    /** Sends the first try and returns when its answer has ended, in whatever way. */
    void begin(ProcessBox box) throws InterruptedException {
        send(box);
    }

    /** Tries the boxes one after the other until the stream is whole or the time is over. */
    void resume(List<ProcessBox> boxes, int first, long forMs) throws InterruptedException {
        long untilNanos = System.nanoTime() + forMs * 1_000_000;
        for (int i = first; !whole && System.nanoTime() < untilNanos; i++) {
            long pauseMs = send(boxes.get(i % boxes.size()));
            if (!whole) {
                Pauses.ofMs(pauseMs);
            }
        }
    }

    private long send(ProcessBox box) throws InterruptedException {
        String attemptId = tries == 0 ? id : id + "." + tries;
        tries++;
        HttpRequest.Builder request = box.stream(attemptId);
        if (!events.isEmpty()) {
            CallerRequests.resuming(request, id, events.get(events.size() - 1));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        Optional<String> retryAfter = Optional.empty();
        boolean complete = false;
        try {
            HttpResponse<InputStream> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofInputStream());
            status = response.statusCode();
            retryAfter = response.headers().firstValue("Retry-After");
            response.body().transferTo(body);
            complete = true;
        } catch (IOException e) {
            // What came before the end is the result.
            complete = false;
        }
        record(attemptId, retryAfter, new PartialAnswer(status, body.toString(StandardCharsets.UTF_8), complete));
        return retryAfter
                .map(seconds -> Math.round(Double.parseDouble(seconds) * MS_PER_SECOND))
                .orElse(PAUSE_MS);
    }

    private void record(String attemptId, Optional<String> retryAfter, PartialAnswer answer) {
        if (answer.status() == NOT_RUN) {
            refusals.add(new Refusal(attemptId, retryAfter, answer.body()));
        } else if (answer.status() == OK) {
            wentOnAfterFinalRefusal |= refusals.stream().anyMatch(Refusal::isFinal);
            events.addAll(answer.events());
            writers.addAll(answer.writers());
            whole = answer.whole();
        }
    }

    String id() {
        return id;
    }

    /** Returns whether some events came and the stream broke off. */
    boolean broken() {
        return !events.isEmpty() && !whole;
    }

    boolean whole() {
        return whole;
    }

    /** Returns the software versions that wrote its events. */
    TreeSet<String> writers() {
        return writers;
    }

    /** Returns whether its events are those of one stream, without a gap and none of them twice. */
    boolean inOrder() {
        List<Integer> expected =
                IntStream.rangeClosed(1, whole ? length : events.size()).boxed().toList();
        return events.equals(expected);
    }

    List<Refusal> refusals() {
        return refusals;
    }

    /** Returns whether it went on after a refusal that told of no time to come back. */
    boolean wentOnAfterFinalRefusal() {
        return wentOnAfterFinalRefusal;
    }
}
