import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.nio.charset.StandardCharsets;

/** The platform's metadata store: rows, transactions and feeds; sound, and it answers after about 4 ms. */
final class Store implements AutoCloseable {
    private record Row(String key, String value, long ver) {}

    private record Change(String table, String key, String value, long ver) {}

    private final Http.Server server;
    private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long version;

    Store(String ip) throws IOException {
        server = new Http.Server(ip, this::handle);
    }

    String address() {
        return server.address();
    }

    /** Writes a row as the operator or a worker does; null removes it. */
    synchronized void put(String table, String key, String value) {
        version++;
        String encoded =
                value == null ? null : Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        change(table, key, encoded);
    }

    private void change(String table, String key, String encoded) {
        TreeMap<String, Row> rows = tables.computeIfAbsent(table, name -> new TreeMap<>());
        if (encoded == null) {
            rows.remove(key);
        } else {
            rows.put(key, new Row(key, encoded, version));
        }
        history.add(new Change(table, key, encoded, version));
        notifyAll();
    }

    private void handle(Http.Message request, Http.Link link) throws IOException, InterruptedException {
        Thread.sleep(4);
        String path = request.target().split("\\?")[0];
        String answer;
        int status = 200;
        switch (path) {
            case "/v1/rows-get" -> answer = rows(request);
            case "/v1/rows-feed" -> answer = feed(request);
            case "/v1/rows-tx" -> {
                boolean done = transact(request);
                status = done ? 200 : 412;
                answer = "{\"ver\":" + newest() + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + ",\"rows\":[]}";
            }
            default -> {
                status = 404;
                answer = "{}";
            }
        }
        link.respond(status, Map.of("Content-Type", "application/json"), answer);
    }

    private synchronized long newest() {
        return version;
    }

    private String document(List<String> rows, long ver) {
        return "{\"rows\":[" + String.join(",", rows) + "],\"truncated\":false,\"ver\":" + ver + ",\"now_ms\":"
                + System.nanoTime() / 1_000_000 + "}";
    }

    private static String row(String table, String key, String value, long ver) {
        String content = value == null ? "\"removed\":true" : "\"value\":\"" + value + "\"";
        return "{\"table\":\"" + table + "\",\"part\":\"\",\"private_key\":" + Json.quote(key) + "," + content
                + ",\"ver\":" + ver + "}";
    }

    private synchronized String rows(Http.Message request) {
        String table = request.query("table");
        List<String> rows = new ArrayList<>();
        String from = request.query("source");
        String limit = request.query("limit");
        int most = limit.isEmpty() ? 500 : Integer.parseInt(limit);
        for (Row row : tables.getOrDefault(table, new TreeMap<>()).tailMap(from, true).values()) {
            if (rows.size() < most) {
                rows.add(row(table, row.key(), row.value(), row.ver()));
            }
        }
        return document(rows, version);
    }

    private synchronized String feed(Http.Message request) throws InterruptedException {
        String table = request.query("table");
        long after = Long.parseLong(request.query("after_revision"));
        long until = System.nanoTime() + Long.parseLong(request.query("wait_ms")) * 1_000_000;
        while (true) {
            List<String> rows = new ArrayList<>();
            for (Change change : history) {
                if (change.ver() > after && change.table().equals(table)) {
                    rows.add(row(table, change.key(), change.value(), change.ver()));
                }
            }
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || leftMs <= 0) {
                return document(rows, version);
            }
            wait(leftMs);
        }
    }

    private synchronized boolean transact(Http.Message request) {
        Map<String, Object> body = Json.object(Json.read(request.text()));
        for (Object entry : Json.list(body.get("expected_revision"))) {
            Map<String, Object> expected = Json.object(entry);
            Row row = tables.getOrDefault(Json.text(expected.get("table")), new TreeMap<>())
                    .get(Json.text(expected.get("private_key")));
            if ((row == null ? 0 : row.ver()) != Json.number(expected.get("ver"))) {
                return false;
            }
        }
        version++;
        for (Object entry : Json.list(body.get("writes"))) {
            Map<String, Object> write = Json.object(entry);
            change(
                    Json.text(write.get("table")),
                    Json.text(write.get("private_key")),
                    Json.text(write.get("value")));
        }
        for (Object entry : Json.list(body.get("remove"))) {
            Map<String, Object> gone = Json.object(entry);
            change(Json.text(gone.get("table")), Json.text(gone.get("private_key")), null);
        }
        return true;
    }

    @Override
    public void close() {
        server.close();
    }
}
