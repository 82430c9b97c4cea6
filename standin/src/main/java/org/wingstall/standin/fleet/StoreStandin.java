package org.wingstall.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.wingstall.net.http.HttpCall;
import org.wingstall.net.http.HttpHandler;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;

/**
 * Stands in for the store of the users' platform, with its faults: busy, silent, resetting, without history.
 *
 * <p>{@code store.put("op", "config", document); store.mode(StoreStandin.Mode.BUSY);}
 *
 * @since 0.2
 */
public final class StoreStandin implements HttpHandler {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int BUSY_STATUS = 503;

    private final Map<String, TreeMap<String, Change>> tables = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private final Set<String> hidden = ConcurrentHashMap.newKeySet();
    private final AtomicLong aheadMs = new AtomicLong();
    private final AtomicInteger calls = new AtomicInteger();
    private volatile Mode mode = Mode.SERVING;
    private long version;
    private long historyAfter;

    /** How the store answers. */
    public enum Mode {
        /** As it should. */
        SERVING,
        /** It refuses every call. */
        BUSY,
        /** It answers nothing. */
        SILENT,
        /** It closes the connection of every call. */
        RESET
    }

    /** Lets the store's clock go ahead, as if that time had passed. */
    public void advance(long ms) {
        aheadMs.addAndGet(ms);
    }

    private record Change(String table, String key, String value, long version) {}

    private record Waiter(HttpCall call, String table, long after) {}

    /** Sets how the store answers from now on. */
    public void mode(Mode next) {
        mode = next;
    }

    /** Returns the calls that came. */
    public int calls() {
        return calls.get();
    }

    /** Writes a row. */
    public synchronized void put(String table, String key, String value) {
        change(new Change(table, key, value, ++version));
    }

    /** Removes a row. */
    public synchronized void remove(String table, String key) {
        change(new Change(table, key, null, ++version));
    }

    /** Drops the history of changes, and answers those that wait for some. */
    public synchronized void forgetHistory() {
        history.clear();
        historyAfter = ++version;
        List<Waiter> asleep = List.copyOf(waiters);
        waiters.clear();
        asleep.forEach(waiter ->
                waiter.call().eventLoop().execute(() -> waiter.call().respond(GONE, "text/plain", new byte[0])));
    }

    private void change(Change change) {
        TreeMap<String, Change> table = tables.computeIfAbsent(change.table(), name -> new TreeMap<>());
        if (change.value() == null) {
            table.remove(change.key());
        } else {
            table.put(change.key(), change);
        }
        history.add(change);
        List<Waiter> woken = waiters.stream()
                .filter(waiter -> waiter.table().equals(change.table()))
                .toList();
        waiters.removeAll(woken);
        woken.forEach(waiter -> waiter.call().eventLoop().execute(() -> answerChanges(waiter)));
    }

    @Override
    public void handle(HttpCall call) {
        calls.incrementAndGet();
        switch (mode) {
            case BUSY -> call.respond(BUSY_STATUS, "text/plain", new byte[0]);
            case SILENT -> {
                // No answer is the fault.
            }
            case RESET -> call.abort();
            case SERVING -> serve(call);
        }
    }

    private void serve(HttpCall call) {
        switch (call.path()) {
            case "/v1/rows-get" -> call.respondJson(OK, rows(call));
            case "/v1/rows-feed" -> feed(call);
            case "/v1/rows-tx" -> write(call);
            default -> call.respond(NOT_FOUND, "text/plain", new byte[0]);
        }
    }

    /** Shows no rows of a table from now on. */
    public void hide(String table) {
        hidden.add(table);
    }

    private synchronized ObjectNode rows(HttpCall call) {
        String name = call.query("table", "");
        TreeMap<String, Change> table =
                hidden.contains(name) ? new TreeMap<>() : tables.getOrDefault(name, new TreeMap<>());
        int limit = Integer.parseInt(call.query("limit", "500"));
        List<Change> found = table.tailMap(call.query("source", "")).values().stream()
                .limit(limit + 1L)
                .toList();
        return document(found.stream().limit(limit).toList(), found.size() > limit);
    }

    private ObjectNode document(List<Change> changes, boolean more) {
        ObjectNode document = Json.MAPPER.createObjectNode();
        ArrayNode rows = document.putArray("rows");
        for (Change change : changes) {
            ObjectNode row = rows.addObject()
                    .put("table", change.table())
                    .put("part", "")
                    .put("private_key", change.key())
                    .put("ver", change.version());
            if (change.value() == null) {
                row.put("removed", true);
            } else {
                byte[] value = change.value().getBytes(StandardCharsets.UTF_8);
                row.put("value", Base64.getEncoder().encodeToString(value));
            }
        }
        return document.put("truncated", more)
                .put("ver", version)
                .put("now_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + aheadMs.get());
    }

    private synchronized void feed(HttpCall call) {
        String table = call.query("table", "");
        long after = Long.parseLong(call.query("after_revision", "0"));
        Waiter waiter = new Waiter(call, table, after);
        if (after < historyAfter) {
            call.respond(GONE, "text/plain", new byte[0]);
        } else if (!changesAfter(waiter).isEmpty()) {
            answerChanges(waiter);
        } else {
            waiters.add(waiter);
            long waitMs = Long.parseLong(call.query("wait_ms", "0"));
            call.eventLoop().schedule(() -> answerChanges(waiter), waitMs, TimeUnit.MILLISECONDS);
        }
    }

    private List<Change> changesAfter(Waiter waiter) {
        return history.stream()
                .filter(change -> change.table().equals(waiter.table()) && change.version() > waiter.after())
                .toList();
    }

    private synchronized void answerChanges(Waiter waiter) {
        waiters.remove(waiter);
        waiter.call().respondJson(OK, document(changesAfter(waiter), false));
    }

    private void write(HttpCall call) {
        try {
            JsonNode body = Json.readTree(call.body());
            for (JsonNode row : body.path("writes")) {
                byte[] value = Base64.getDecoder().decode(row.path("value").asText());
                put(
                        row.path("table").asText(),
                        row.path("private_key").asText(),
                        new String(value, StandardCharsets.UTF_8));
            }
            call.respondJson(OK, document(List.of(), false));
        } catch (InvalidDocumentException e) {
            call.respond(BAD_REQUEST, "text/plain", e.getMessage().getBytes(StandardCharsets.UTF_8));
        }
    }
}
