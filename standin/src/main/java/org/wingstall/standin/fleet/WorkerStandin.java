package org.wingstall.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.wingstall.net.http.HttpCall;
import org.wingstall.net.http.HttpHandler;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;

/**
 * Stands in for an endpoint of the users' platform: engine, stage or plain service, sound or faulty.
 *
 * <p>{@code worker.behave(WorkerStandin.Behaviour.CUTS_ANSWER); worker.runs()}
 *
 * @since 0.2
 */
public final class WorkerStandin implements HttpHandler {
    private static final int OK = 200;
    private static final int OTHER_INCARNATION = 421;
    private static final int FAILED = 500;
    private static final int FULL = 503;
    private static final String ID = "X-Wingstall-Attempt-Id";

    private static final String LIMIT = "Server-Limit";
    private static final String LEAVING = "Server-Leaving";
    private static final String BRITTLE = "Server-Brittle";
    private static final String RETRY_AFTER = "Retry-After";

    /** Event within which streams are broken off. */
    private static final int BROKEN_EVENT = 3;

    private final String incarnation;
    private final int events;
    private final long callMs;
    private final List<Seen> runs = new CopyOnWriteArrayList<>();
    private final List<Integer> batches = new CopyOnWriteArrayList<>();
    private final List<String> freed = new CopyOnWriteArrayList<>();
    private final InputChecks inputs = new InputChecks();
    private final SurplusAnswers surplusAnswers = new SurplusAnswers();
    private final AtomicInteger results = new AtomicInteger();
    private final AtomicInteger inputsToLose = new AtomicInteger();
    private final AtomicInteger cancelled = new AtomicInteger();
    private volatile Behaviour behaviour = Behaviour.ANSWERS;
    private volatile Consumer<Arrival> observer = arrival -> {};
    private volatile LimitLog limitLog = new LimitLog();
    private volatile StatementLog statements = new StatementLog();
    private volatile String limit;
    private volatile boolean leaving;
    private volatile String retryAfter;
    private volatile BrittleRoom brittleRoom;
    private volatile String version = "";

    /** A request that came to an endpoint, run or turned away. */
    public record Arrival(String id, String endpoint, String target, boolean ran, long deadlineMs) {}

    /** How the endpoint answers requests. */
    public enum Behaviour {
        /** As it should. */
        ANSWERS,
        /** It turns requests away before running them. */
        FULL,
        /** It runs requests and answers with a failure of its own. */
        FAILS,
        /** It breaks off within its answer; of a stream, within the third event. */
        CUTS_ANSWER,
        /** It ends its streams within the third event, as if they were complete; other answers are sound. */
        ENDS_INSIDE_EVENT,
        /** It answers with the identifier of another request. */
        OTHER_ID,
        /** It runs requests and refuses with the identifier of another one, as with a refusal that came late. */
        OTHER_REFUSAL,
        /** The same, as if another endpoint were at its address. */
        OTHER_MISDIRECTED,
        /** It answers without a signature. */
        UNSIGNED,
        /** It runs requests and closes their connections. */
        CLOSES,
        /** It runs requests and never answers. */
        SILENT,
        /** It takes connections and answers nothing, not even what its state is. */
        DARK
    }

    /** A request that the endpoint ran. */
    public record Seen(String id, String method, String target, HttpHeaders headers, byte[] body) {}

    /**
     * Creates an endpoint.
     *
     * @param incarnation its identifier
     * @param events events of its streams; 0 for whole answers
     * @param callMs time of a call for pieces, in ms
     */
    public WorkerStandin(String incarnation, int events, long callMs) {
        this.incarnation = incarnation;
        this.events = events;
        this.callMs = callMs;
    }

    /** Sets how the endpoint answers from now on. */
    public void behave(Behaviour next) {
        behaviour = next;
    }

    /** Returns what decides on the answers that it sends once more. */
    public SurplusAnswers surplusAnswers() {
        return surplusAnswers;
    }

    /** Tells of each request for this endpoint; on its event loop, before it is answered. */
    public void observe(Consumer<Arrival> next) {
        observer = next;
    }

    /** Sets where the requests that it gets are recorded. */
    public WorkerStandin recordIn(LimitLog log) {
        limitLog = log;
        return this;
    }

    /** Sets where it is recorded what the endpoint states, and which requests it gets since. */
    public WorkerStandin recordIn(StatementLog log) {
        statements = log;
        return this;
    }

    /** States in all answers from now on that it leaves. */
    public void leave() {
        leaving = true;
    }

    /** Turns requests away from now on and names a time, in whatever words, for which it wants none. */
    public void shed(String text) {
        retryAfter = text;
        behaviour = Behaviour.FULL;
    }

    /** Takes requests again. */
    public void takeRequests() {
        retryAfter = null;
        behaviour = Behaviour.ANSWERS;
    }

    /** Names in each event the software version that wrote it. */
    public WorkerStandin writeAs(String softwareVersion) {
        version = " by " + softwareVersion;
        return this;
    }

    /** States from now on how many requests a second it takes, in whatever words. */
    public void limit(String text, double requestsPerSecond) {
        limit = text;
        limitLog.stated(incarnation, requestsPerSecond);
    }

    /** States a limit no longer. */
    public void clearLimit() {
        limit = null;
        limitLog.cleared(incarnation);
    }

    /** States from now on that it fails when it rejects too many requests, and has room for a few only. */
    public void turnBrittle(BrittleRoom room) {
        brittleRoom = room;
    }

    /** Finds the inputs of so many calls for pieces gone. */
    public void loseInputs(int calls) {
        inputsToLose.set(calls);
    }

    /** Returns the whole stream that answers a request. */
    public static String streamOf(String id, int events) {
        return StreamText.stream(id, events);
    }

    /** Returns the pieces and requests that came with inputs of another request, or without some of their own. */
    public List<String> wrongInputs() {
        return inputs.wrong();
    }

    /** Returns the requests that it ran. */
    public List<Seen> runs() {
        return List.copyOf(runs);
    }

    /** Returns the pieces of each call for some. */
    public List<Integer> batches() {
        return List.copyOf(batches);
    }

    /** Returns the results that were given up. */
    public List<String> freed() {
        return List.copyOf(freed);
    }

    /** Returns the requests whose connection closed before they were answered. */
    public int cancelled() {
        return cancelled.get();
    }

    @Override
    public void handle(HttpCall call) {
        String expected = call.header("X-Wingstall-Expect-Instance");
        boolean other = expected != null && !expected.equals(incarnation);
        if (other) {
            respond(call, OTHER_INCARNATION, headers(call).set("X-Wingstall-Instance-Id", incarnation), "");
            return;
        }
        limitLog.arrived(incarnation, requestId(call) == null ? call.path() : requestId(call));
        statements.arrived(incarnation, call);
        if (behaviour == Behaviour.DARK) {
            arrived(call, false);
            call.onDisconnect(cancelled::incrementAndGet);
            return;
        }
        switch (call.path()) {
            case "/v1/stage-run" -> runPieces(call);
            case "/v1/stage-free" -> free(call);
            case "/v1/report" -> respond(call, OK, headers(call), "{}");
            default -> run(call);
        }
    }

    /** Returns the identifier of the request that a call carries; null without one. */
    public static String requestId(HttpCall call) {
        return call.header(ID);
    }

    private HttpHeaders headers(HttpCall call) {
        String id = call.header(ID);
        HttpHeaders headers = new DefaultHttpHeaders();
        if (limit != null) {
            headers.set(LIMIT, limit);
        }
        if (brittleRoom != null) {
            headers.set(BRITTLE, Integer.toString(brittleRoom.maxRejectionsPerSecond()));
        }
        if (leaving) {
            headers.set(LEAVING, "1");
            statements.toldLeaving(incarnation, call);
        }
        return id == null ? headers : headers.set(ID, id);
    }

    private static void respond(HttpCall call, int status, HttpHeaders headers, String body) {
        call.respond(status, headers, body.getBytes(StandardCharsets.UTF_8));
    }

    private void arrived(HttpCall call, boolean ran) {
        String deadline = call.header("X-Wingstall-Deadline-Ms");
        observer.accept(new Arrival(
                call.header(ID), incarnation, call.target(), ran, deadline == null ? 0 : Long.parseLong(deadline)));
    }

    private void run(HttpCall call) {
        BrittleRoom room = brittleRoom;
        boolean full = behaviour == Behaviour.FULL || room != null && !room.take();
        arrived(call, !full);
        if (full) {
            turnAway(call);
            return;
        }
        inputs.check(call);
        runs.add(new Seen(
                call.header(ID), call.method(), call.target(), call.headers().copy(), call.body()));
        call.onDisconnect(cancelled::incrementAndGet);
        HttpHeaders signed = headers(call).set("X-Wingstall-Response-Seal", "seal-of-" + incarnation);
        switch (behaviour) {
            case FAILS -> respond(call, FAILED, signed, "failed");
            case OTHER_ID -> respond(call, OK, signed.set(ID, "of-another"), "of another");
            case OTHER_REFUSAL ->
                respond(call, FULL, headers(call).set(ID, "of-another").set("X-Wingstall-Not-Executed", "1"), "");
            case OTHER_MISDIRECTED ->
                respond(call, OTHER_INCARNATION, headers(call).set(ID, "of-another"), "");
            case UNSIGNED -> respond(call, OK, headers(call), "unsigned");
            case CLOSES -> call.abort();
            case SILENT, DARK -> {
                // No answer is the fault.
            }
            case ANSWERS, CUTS_ANSWER, ENDS_INSIDE_EVENT, FULL -> answerAfterWork(call, signed, room);
        }
    }

    private void turnAway(HttpCall call) {
        HttpHeaders headers = headers(call).set("X-Wingstall-Not-Executed", "1");
        if (retryAfter != null) {
            headers.set(RETRY_AFTER, retryAfter);
            statements.toldRetryAfter(incarnation, call, retryAfter);
        }
        respond(call, FULL, headers, "");
    }

    private void answerAfterWork(HttpCall call, HttpHeaders signed, BrittleRoom room) {
        if (room == null) {
            answer(call, signed);
            return;
        }
        Runnable work = () -> {
            room.release();
            answer(call, signed);
        };
        call.eventLoop().schedule(work, room.workMs(), TimeUnit.MILLISECONDS);
    }

    private void answer(HttpCall call, HttpHeaders signed) {
        boolean cut = behaviour == Behaviour.CUTS_ANSWER;
        if (events > 0) {
            call.begin(OK, signed.set("content-type", "text/event-stream"));
            String resumed = call.header("Last-Event-Id");
            event(call, resumed == null ? 1 : Integer.parseInt(resumed) + 1, behaviour);
        } else if (cut) {
            call.begin(OK, signed);
            part(call, "half of ");
            call.eventLoop().schedule(call::abort, 10, TimeUnit.MILLISECONDS);
        } else {
            respond(call, OK, signed, "answer to " + call.header(ID));
        }
    }

    private void event(HttpCall call, int number, Behaviour begun) {
        if (call.answered()) {
            return;
        }
        boolean broken = begun == Behaviour.CUTS_ANSWER || begun == Behaviour.ENDS_INSIDE_EVENT;
        if (broken && number == BROKEN_EVENT) {
            part(call, "id: " + number + "\nda");
            Runnable end = begun == Behaviour.CUTS_ANSWER ? call::abort : call::end;
            call.eventLoop().schedule(end, 10, TimeUnit.MILLISECONDS);
        } else if (number > events) {
            call.end();
        } else {
            part(call, StreamText.event(call.header(ID), number, version));
            call.eventLoop().schedule(() -> event(call, number + 1, begun), 5, TimeUnit.MILLISECONDS);
        }
    }

    private static void part(HttpCall call, String text) {
        call.part(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    private String handleOf(JsonNode piece) {
        String of = piece.path("id").asText() + "." + piece.path("phase").asInt() + "."
                + piece.path("piece").asInt();
        return incarnation + "/" + of + "." + results.incrementAndGet();
    }

    private void runPieces(HttpCall call) {
        if (behaviour == Behaviour.FULL) {
            turnAway(call);
            return;
        }
        JsonNode items = items(call, "items");
        int pieces = items.size();
        items.forEach(inputs::check);
        batches.add(pieces);
        ObjectNode document = Json.MAPPER.createObjectNode();
        ArrayNode made = document.putArray("items");
        boolean lost = inputsToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
        for (int i = 0; i < pieces; i++) {
            if (lost) {
                made.addObject().put("reason", "gone");
            } else {
                made.addObject().put("kv_handle", handleOf(items.get(i)));
            }
        }
        HttpHeaders answerHeaders = headers(call).set("content-type", "application/json");
        call.eventLoop()
                .schedule(() -> call.respond(OK, answerHeaders, Json.write(document)), callMs, TimeUnit.MILLISECONDS);
    }

    private void free(HttpCall call) {
        items(call, "kv_handles").forEach(handle -> freed.add(handle.asText()));
        respond(call, OK, headers(call), "");
    }

    private static JsonNode items(HttpCall call, String field) {
        try {
            return Json.readTree(call.body()).path(field);
        } catch (InvalidDocumentException e) {
            return Json.MAPPER.createArrayNode();
        }
    }
}
