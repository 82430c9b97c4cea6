import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 6. Clients send three idempotent requests at a time over their kept connections, while their box gets SIGTERM.
 * Counted are the requests that the box passed on to a worker before it closed the connection without an answer to them.
 */
final class Pipeline {
    private static final int CLIENTS = 30;
    private static final int WARM = 84;
    private static final int ALLOWED = 3;
    private static final int IN_ROW = 3;
    private static final int WORK_MS = 300;
    private static final int DEADLINE_MS = 5000;

    private Pipeline() {}

    public static void main(String[] arguments) throws Exception {
        Bed.main(arguments, Pipeline::run);
    }

    private static int run(Bed bed) throws Exception {
        Record record = bed.record;
        bed.store.put(
                "op",
                "config",
                Config.document(
                        1,
                        Config.service("quote-api", 96),
                        Config.route("alerts", "idempotent", "quote-api", 2, DEADLINE_MS, false)));
        Set<String> arrived = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 3; i++) {
            Worker worker = bed.worker("i-worker-" + i, (self, request, out) -> {
                String id = request.header("x-wingstall-attempt-id");
                arrived.add(id);
                record.say("worker %s runs %s", self.id, id);
                Thread.sleep(WORK_MS);
                self.answer(out, request, 200, "", "done".getBytes(StandardCharsets.US_ASCII));
            });
            bed.store.put("servers", worker.id, worker.entry("quote-api", "hall-a", 60));
        }
        Box box = bed.box("edge-hall-a-1", "hall-a");
        Thread.sleep(500);
        List<Socket> connections = new ArrayList<>();
        List<Thread> first = new ArrayList<>();
        for (int i = 0; i < WARM; i++) {
            Socket connection = box.connect();
            connection.setSoTimeout(8000);
            connections.add(connection);
            Thread.sleep(15);
        }
        for (int i = 0; i < WARM; i++) {
            int client = i;
            first.add(Worker.start("first", () -> ask(record, connections.get(client), "first-" + client, 1)));
        }
        for (Thread thread : first) {
            thread.join();
        }
        Set<String> unanswered = ConcurrentHashMap.newKeySet();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Worker.start("client", () -> {
                int answers = ask(record, connections.get(client), "row-" + client, IN_ROW);
                for (int j = answers; j < IN_ROW; j++) {
                    unanswered.add("row-" + client + "-" + j);
                }
            }));
        }
        Thread.sleep(100);
        if (bed.trouble) {
            box.signal("TERM");
        }
        for (Thread client : clients) {
            client.join();
        }
        // A client may see its connection end before the worker has read the request.
        Thread.sleep(500);
        List<String> counted = unanswered.stream().filter(arrived::contains).sorted().toList();
        counted.forEach(id -> record.say("%s was passed on, and its connection closed without an answer", id));
        record.say("unanswered: %d; of these passed on to a worker: %d (allowed: %d)", unanswered.size(), counted.size(), ALLOWED);
        System.out.println("unanswered " + unanswered.size() + ", passed on " + counted.size());
        return counted.size() > ALLOWED ? Bed.BROKEN : Bed.HELD;
    }

    /** Sends requests one right behind the other; returns how many were answered. */
    private static int ask(Record record, Socket connection, String name, int count) {
        int answers = 0;
        try {
            StringBuilder row = new StringBuilder();
            for (int i = 0; i < count; i++) {
                row.append(Config.head("GET", "/alerts/x", name + "-" + i, DEADLINE_MS, 0, ""));
            }
            connection.getOutputStream().write(row.toString().getBytes(StandardCharsets.US_ASCII));
            record.say("%s: sent %d", name, count);
            InputStream in = connection.getInputStream();
            while (answers < count) {
                Http.Message head = Http.readHead(in);
                if (head == null) {
                    record.say("%s: the connection ended after %d answers", name, answers);
                    return answers;
                }
                Http.readBody(in, head, true);
                record.say("%s: answer %d has status %d, connection %s", name, answers, head.status(), head.header("connection"));
                answers++;
            }
        } catch (IOException e) {
            record.say("%s: the connection ended after %d answers: %s", name, answers, e.getMessage());
        }
        return answers;
    }
}
