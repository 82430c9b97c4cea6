package org.wingstall.standin.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
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
    private static final String ENDPOINTS = "servers";
    /** Rows of one answer at most. */
    private static final int MOST_ROWS = 500;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int TOO_MANY_CALLS_STATUS = 429;
    private static final int BUSY_STATUS = 503;

    private final Map<String, TreeMap<String, Change>> tables = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private final Set<String> hidden = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> readDelaysMs = new ConcurrentHashMap<>();
    private final AtomicLong aheadMs = new AtomicLong();
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger badRequests = new AtomicInteger();
    private volatile Mode mode = Mode.SERVING;
    private final AtomicInteger historyGone = new AtomicInteger();
    private long version;
    private long historyAfter;
    private long era = 1;
    private Copy copy = new Copy(Map.of(), 0);
    private List<Change> sinceCopy = new ArrayList<>();
    private List<Change> lost = List.of();

    /** How the store answers. */
    public enum Mode {
        /** As it should. */
        SERVING,
        /** It refuses every call. */
        BUSY,
        /** It refuses every call as one too many. */
        TOO_MANY_CALLS,
        /** It answers nothing. */
        SILENT,
        /** It closes the connection of every call. */
        RESET
    }

    /** Lets the store's clock go ahead, as if that time had passed. */
    public void advance(long ms) {
        aheadMs.addAndGet(ms);
    }

    /** Returns an empty table; its keys rise by their bytes. */
    private static TreeMap<String, Change> newTable() {
        return new TreeMap<>(
                Comparator.comparing(key -> key.getBytes(StandardCharsets.UTF_8), Arrays::compareUnsigned));
    }

    private record Change(String table, String key, String value, long version) {}

    /** The rows of all tables at a version. */
    private record Copy(Map<String, TreeMap<String, Change>> tables, long version) {}

    private record Waiter(HttpCall call, String table, long after, View view) {}

    /** How the store shows itself to some callers. */
    private record View(UnaryOperator<String> endpoints, Supplier<Mode> mode) {}

    /** Sets how the store answers from now on. */
    public void mode(Mode next) {
        mode = next;
    }

    /** Copies the rows, for {@link #restore}. */
    public synchronized void copy() {
        Map<String, TreeMap<String, Change>> rows = new TreeMap<>();
        tables.forEach((name, table) -> rows.put(name, new TreeMap<>(table)));
        copy = new Copy(rows, version);
        sinceCopy = new ArrayList<>();
    }

    /** Goes back to the last copy: later writes are gone, and their versions are given out again. */
    public synchronized void restore() {
        tables.clear();
        copy.tables().forEach((name, table) -> tables.put(name, new TreeMap<>(table)));
        version = copy.version();
        era++;
        lost = sinceCopy;
        sinceCopy = new ArrayList<>();
        endHistory();
    }

    /** Writes again what operators and endpoints had written, and have not changed since; writes of boxes stay lost. */
    public synchronized void repeatLostWrites() {
        List<Change> since = List.copyOf(sinceCopy);
        for (Change change : lost) {
            boolean changedSince = since.stream()
                    .anyMatch(later ->
                            later.table().equals(change.table()) && later.key().equals(change.key()));
            if (!changedSince) {
                writeOfPlatform(change.table(), change.key(), change.value());
            }
        }
        lost = List.of();
    }

    /** Returns how many calls were told that the history that they ask for is gone. */
    public int historyGone() {
        return historyGone.get();
    }

    /** Returns whether a row is there. */
    public synchronized boolean has(String table, String key) {
        return tables.getOrDefault(table, new TreeMap<>()).containsKey(key);
    }

    /** Returns the calls that came. */
    public int calls() {
        return calls.get();
    }

    /** Returns the calls that were refused since their targets were malformed. */
    public int badRequests() {
        return badRequests.get();
    }

    /** Writes a row, as operators and endpoints do. */
    public synchronized void put(String table, String key, String value) {
        writeOfPlatform(table, key, value);
    }

    /** Removes a row, as operators and endpoints do. */
    public synchronized void remove(String table, String key) {
        writeOfPlatform(table, key, null);
    }

    private void writeOfPlatform(String table, String key, String value) {
        Change change = new Change(table, key, value, ++version);
        sinceCopy.add(change);
        change(change);
    }

    /** Drops the history of changes, and answers those that wait for some. */
    public synchronized void forgetHistory() {
        version++;
        endHistory();
    }

    private void endHistory() {
        history.clear();
        historyAfter = version;
        List<Waiter> asleep = List.copyOf(waiters);
        waiters.clear();
        asleep.forEach(waiter -> waiter.call().eventLoop().execute(() -> respondGone(waiter.call())));
    }

    private void change(Change change) {
        TreeMap<String, Change> table = tables.computeIfAbsent(change.table(), name -> newTable());
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
        handle(call, new View(UnaryOperator.identity(), () -> Mode.SERVING));
    }

    /** Returns a handler of the same store that shows entries of endpoints in another way. */
    public HttpHandler withEndpointView(UnaryOperator<String> endpointView) {
        return call -> handle(call, new View(endpointView, () -> Mode.SERVING));
    }

    /** Returns a handler of the same store that turns its callers away, also those that wait, while the mode says so. */
    public HttpHandler turningAway(Supplier<Mode> modeOfCallers) {
        return call -> handle(call, new View(UnaryOperator.identity(), modeOfCallers));
    }

    private void handle(HttpCall call, View view) {
        calls.incrementAndGet();
        Mode ofAll = mode;
        if (!turnedAway(call, ofAll == Mode.SERVING ? view.mode().get() : ofAll)) {
            serve(call, view);
        }
    }

    private boolean turnedAway(HttpCall call, Mode how) {
        switch (how) {
            case BUSY -> respond(call, BUSY_STATUS, new byte[0]);
            case TOO_MANY_CALLS -> respond(call, TOO_MANY_CALLS_STATUS, new byte[0]);
            case SILENT -> {
                // No answer is the fault.
            }
            case RESET -> call.abort();
            case SERVING -> {
                return false;
            }
        }
        return true;
    }

    private void serve(HttpCall call, View view) {
        try {
            StoreQuery query = StoreQuery.parse(call.target());
            switch (query.path()) {
                case "/v1/rows-get" -> read(call, query, view.endpoints());
                case "/v1/rows-feed" -> feed(call, query, view);
                case "/v1/rows-tx" -> write(call);
                default -> respond(call, NOT_FOUND, new byte[0]);
            }
        } catch (InvalidDocumentException e) {
            badRequests.incrementAndGet();
            respond(call, BAD_REQUEST, String.valueOf(e.getMessage()).getBytes(StandardCharsets.UTF_8));
        }
    }

    private void read(HttpCall call, StoreQuery query, UnaryOperator<String> endpointView)
            throws InvalidDocumentException {
        int limit = (int) Math.min(MOST_ROWS, query.whole("limit", MOST_ROWS));
        long delayMs = readDelaysMs.getOrDefault(query.text("table"), 0L);
        call.eventLoop()
                .schedule(
                        () -> respond(call, OK, Json.write(rows(query, limit, endpointView))),
                        delayMs,
                        TimeUnit.MILLISECONDS);
    }

    private void respondGone(HttpCall call) {
        historyGone.incrementAndGet();
        respond(call, GONE, new byte[0]);
    }

    private synchronized void respond(HttpCall call, int status, byte[] body) {
        call.respond(status, HttpCall.JSON, body, Map.of("Store-Era", Long.toString(era)));
    }

    /** Answers reads of a table's rows after so many ms from now on. */
    public void delayReads(String table, long delayMs) {
        readDelaysMs.put(table, delayMs);
    }

    /** Shows no rows of a table from now on. */
    public void hide(String table) {
        hidden.add(table);
    }

    private synchronized ObjectNode rows(StoreQuery query, int limit, UnaryOperator<String> endpointView) {
        String name = query.text("table");
        TreeMap<String, Change> table = hidden.contains(name) ? newTable() : tables.getOrDefault(name, newTable());
        List<Change> found = table.tailMap(query.text("source")).values().stream()
                .limit(limit + 1L)
                .toList();
        return document(found.stream().limit(limit).toList(), found.size() > limit, endpointView);
    }

    private ObjectNode document(List<Change> changes, boolean more, UnaryOperator<String> endpointView) {
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
                boolean endpoint = change.table().equals(ENDPOINTS);
                String shown = endpoint ? endpointView.apply(change.value()) : change.value();
                byte[] value = shown.getBytes(StandardCharsets.UTF_8);
                row.put("value", Base64.getEncoder().encodeToString(value));
            }
        }
        return document.put("truncated", more)
                .put("ver", version)
                .put("now_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + aheadMs.get());
    }

    private synchronized void feed(HttpCall call, StoreQuery query, View view) throws InvalidDocumentException {
        String table = query.text("table");
        long after = query.whole("after_revision", 0);
        long waitMs = query.whole("wait_ms", 0);
        Waiter waiter = new Waiter(call, table, after, view);
        if (after < historyAfter || after > version) {
            respondGone(call);
        } else if (!changesAfter(waiter).isEmpty()) {
            answerChanges(waiter);
        } else {
            waiters.add(waiter);
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
        if (!turnedAway(waiter.call(), waiter.view().mode().get())) {
            UnaryOperator<String> endpoints = waiter.view().endpoints();
            respond(waiter.call(), OK, Json.write(document(changesAfter(waiter), false, endpoints)));
        }
    }

    /** Writes a row as a box does; nobody else repeats it after a restore. */
    public synchronized void writeOfBox(String table, String key, String value) {
        change(new Change(table, key, value, ++version));
    }

    private void write(HttpCall call) {
        try {
            JsonNode body = Json.readTree(call.body());
            for (JsonNode row : body.path("writes")) {
                byte[] value = Base64.getDecoder().decode(row.path("value").asText());
                writeOfBox(
                        row.path("table").asText(),
                        row.path("private_key").asText(),
                        new String(value, StandardCharsets.UTF_8));
            }
            respond(call, OK, Json.write(document(List.of(), false, UnaryOperator.identity())));
        } catch (InvalidDocumentException e) {
            respond(call, BAD_REQUEST, e.getMessage().getBytes(StandardCharsets.UTF_8));
        }
    }
}
