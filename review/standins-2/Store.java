import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store with what a box uses of it: rows-get, rows-feed and rows-tx without conditions. It is sound: its
 * answers are linearizable and whole.
 */
final class Store implements AutoCloseable {
    private record Row(String table, String key, String value, long ver) {}

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "store");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private long ver = 1;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a row as the operator or a worker does; a null value removes it. */
    synchronized void put(String table, String key, String value) {
        String kept = value == null ? null : Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        change(table, key, kept);
    }

    synchronized boolean has(String table, String key) {
        return tables.getOrDefault(table, new TreeMap<>()).containsKey(key);
    }

    synchronized int size(String table) {
        return tables.getOrDefault(table, new TreeMap<>()).size();
    }

    private void change(String table, String key, String value) {
        Row row = new Row(table, key, value, ++ver);
        TreeMap<String, Row> rows = tables.computeIfAbsent(table, name -> new TreeMap<>());
        if (value == null) {
            rows.remove(key);
        } else {
            rows.put(key, row);
        }
        history.add(row);
        notifyAll();
    }

    private void handle(HttpExchange call) throws IOException {
        try (call) {
            byte[] body = call.getRequestBody().readAllBytes();
            Map<String, String> query = query(call.getRequestURI().getRawQuery());
            String path = call.getRequestURI().getPath();
            byte[] answer =
                    switch (path) {
                        case "/v1/rows-get" -> get(query);
                        case "/v1/rows-feed" -> feed(query);
                        case "/v1/rows-tx" -> write(new String(body, StandardCharsets.UTF_8));
                        default -> null;
                    };
            call.getResponseHeaders().set("Content-Type", "application/json");
            call.sendResponseHeaders(answer == null ? 404 : 200, answer == null ? -1 : answer.length);
            if (answer != null) {
                call.getResponseBody().write(answer);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private synchronized byte[] get(Map<String, String> query) {
        TreeMap<String, Row> table = tables.getOrDefault(query.get("table"), new TreeMap<>());
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<Row> rows = new ArrayList<>(table.tailMap(query.getOrDefault("source", "")).values());
        boolean truncated = rows.size() > limit;
        return document(truncated ? rows.subList(0, limit) : rows, truncated);
    }

    private synchronized byte[] feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.getOrDefault("after_revision", "0"));
        long untilMs = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        Predicate<Row> wanted = row -> row.table().equals(query.get("table")) && row.ver() > after;
        while (history.stream().noneMatch(wanted) && System.currentTimeMillis() < untilMs) {
            wait(Math.max(1, untilMs - System.currentTimeMillis()));
        }
        return document(history.stream().filter(wanted).toList(), false);
    }

    private static final Pattern WRITE = Pattern.compile("\\{[^{}]*\"table\":\"([^\"]*)\"[^{}]*\\}");

    private synchronized byte[] write(String body) {
        int removals = body.indexOf("\"remove\"");
        Matcher writes = WRITE.matcher(body);
        while (writes.find()) {
            String entry = writes.group();
            change(writes.group(1), field(entry, "private_key"), writes.start() > removals ? null : field(entry, "value"));
        }
        return ("{\"ver\":" + ver + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}").getBytes(StandardCharsets.UTF_8);
    }

    private static String field(String entry, String name) {
        Matcher field = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(entry);
        return field.find() ? field.group(1) : null;
    }

    private byte[] document(List<Row> rows, boolean truncated) {
        StringBuilder text = new StringBuilder("{\"rows\":[");
        for (Row row : rows) {
            text.append(text.length() > 9 ? "," : "")
                    .append("{\"table\":\"" + row.table() + "\",\"part\":\"\",\"private_key\":\"" + row.key() + "\",\"ver\":" + row.ver())
                    .append(row.value() == null ? ",\"removed\":true}" : ",\"value\":\"" + row.value() + "\"}");
        }
        text.append("],\"truncated\":" + truncated + ",\"ver\":" + ver + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}");
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
