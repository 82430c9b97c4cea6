package org.wingstall.it.harness;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Sends requests and keeps what came back to each. */
public final class Calls {
    private final List<CompletableFuture<Void>> open = new ArrayList<>();
    private final ConcurrentLinkedQueue<Call> done = new ConcurrentLinkedQueue<>();

    /** A request and its answer; the reply is null when the connection broke. */
    public record Call(String pipeline, String text, String key, boolean streamed, Http.Reply reply) {
        /** Returns the answer, which is the last event of a stream. */
        public JsonNode answer() {
            if (!streamed || !reply.body().startsWith("event:")) {
                return reply.json();
            }
            String[] events = reply.body().strip().split("\n\n");
            String last = events[events.length - 1];
            if (!last.startsWith("event: answer")) {
                return TestFleet.tree("{\"outcome\":\"cut\"}");
            }
            return TestFleet.tree(last.substring(last.indexOf("data: ") + 6));
        }

        public String outcome() {
            return reply == null ? "no-answer" : answer().path("outcome").asText();
        }

        /** Returns the texts of a stream's tokens, checking that their numbers have no gap. */
        public String streamedText() {
            StringBuilder text = new StringBuilder();
            int next = 0;
            for (String event : reply.body().split("\n\n")) {
                if (event.startsWith("event: token")) {
                    JsonNode token = TestFleet.tree(event.substring(event.indexOf("data: ") + 6));
                    if (token.path("sequence").asInt() != next++) {
                        throw new AssertionError("a token is lost or doubled: " + reply.body());
                    }
                    text.append(token.path("token").asText());
                }
            }
            return text.toString();
        }
    }

    public synchronized void send(TestFleet.Box box, String pipeline, String text, String key, boolean streamed) {
        ObjectNode body = TestFleet.body("crew", text);
        if (key != null) {
            body.put("idempotencyKey", key);
        }
        String accept = streamed ? "text/event-stream" : "application/json";
        open.add(Http.postAsync(box.caller(), "/v1/pipelines/" + pipeline + "/requests", body, accept)
                .handle((reply, failure) -> {
                    done.add(new Call(pipeline, text, key, streamed, failure == null ? reply : null));
                    return null;
                }));
    }

    /** Waits until every request has its answer or lost its connection. */
    public List<Call> await() {
        CompletableFuture<?>[] all;
        synchronized (this) {
            all = open.toArray(CompletableFuture[]::new);
        }
        CompletableFuture.allOf(all).orTimeout(60, TimeUnit.SECONDS).join();
        return List.copyOf(done);
    }

    /** Returns what came back to the requests that were not completed, for a test's message. */
    public static String withoutAnswer(List<Call> calls) {
        return calls.stream()
                .filter(call -> !call.outcome().equals("complete"))
                .map(call -> call.text() + ": "
                        + (call.reply() == null ? "no answer" : call.reply().body()))
                .collect(Collectors.joining("\n"));
    }

    public static Map<String, Integer> outcomes(List<Call> calls) {
        Map<String, Integer> counts = new TreeMap<>();
        calls.forEach(call -> counts.merge(call.outcome(), 1, Integer::sum));
        return counts;
    }
}
