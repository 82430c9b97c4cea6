import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 4. Clients with kept connections send requests for streams of about 5 s, one client every 50 ms, while their box
 * gets SIGTERM. Counted are the requests that were sent more than 3 s after the SIGTERM, were passed on to a worker and end
 * without a complete answer.
 */
final class StopCut {
    private static final int EVENTS = 34;
    private static final int PAUSE_MS = 150;
    private static final int CLIENTS = 66;
    private static final int STEP_MS = 50;
    private static final int DEADLINE_MS = 20_000;

    /** What became of one request. */
    private record Outcome(int client, long sentMs, long endedMs, String how, boolean whole) {}

    private StopCut() {}

    public static void main(String[] arguments) throws Exception {
        Bed.main(arguments, StopCut::run);
    }

    private static int run(Bed bed) throws Exception {
        Record record = bed.record;
        bed.store.put(
                "op",
                "config",
                Config.document(
                        1,
                        Config.service("lm-pool", 360),
                        Config.route("chat", "streaming", "lm-pool", 1, DEADLINE_MS, false)));
        Set<String> arrived = ConcurrentHashMap.newKeySet();
        Set<String> madeWhole = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 3; i++) {
            Worker worker = bed.worker("i-worker-" + i, (self, request, out) -> {
                String id = request.header("x-wingstall-attempt-id");
                arrived.add(id);
                record.say("worker %s runs %s", self.id, id);
                int events = new String(request.body(), StandardCharsets.US_ASCII).equals("short") ? 1 : EVENTS;
                stream(self, request, out, events);
                madeWhole.add(id);
                record.say("worker %s has made all events of %s", self.id, id);
            });
            bed.store.put("servers", worker.id, worker.entry("lm-pool", "hall-a", 64));
        }
        Box box = bed.box("edge-hall-a-1", "hall-a");
        Thread.sleep(500);
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket connection = box.connect();
            connection.setSoTimeout(25_000);
            connections.add(connection);
            Outcome first = ask(record, connection, i, "first-" + i, "short");
            if (!first.whole()) {
                throw new IOException("a request before the stop failed: " + first.how());
            }
        }
        record.say("all %d clients have been answered and keep their connections", CLIENTS);
        if (bed.trouble) {
            box.signal("TERM");
        }
        long startMs = record.nowMs();
        List<Outcome> outcomes = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Worker.start("client", () -> {
                Outcome outcome = later(record, connections.get(client), client, startMs + 50L + client * STEP_MS);
                synchronized (outcomes) {
                    outcomes.add(outcome);
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        int excused = 0;
        int counted = 0;
        int whole = 0;
        for (Outcome outcome : outcomes) {
            long afterMs = outcome.sentMs() - startMs;
            boolean passedOn = arrived.contains("long-" + outcome.client());
            boolean cut = passedOn && !outcome.whole();
            whole += outcome.whole() ? 1 : 0;
            excused += cut && afterMs <= 3000 ? 1 : 0;
            counted += cut && afterMs > 3000 ? 1 : 0;
            if (cut) {
                record.say(
                        "client %d: sent %d ms and cut %d ms after the start, the worker %s: %s",
                        outcome.client(),
                        afterMs,
                        outcome.endedMs() - startMs,
                        madeWhole.contains("long-" + outcome.client()) ? "had ended" : "was at work",
                        outcome.how());
            }
        }
        record.say("answered whole: %d; cut though sent by 3 s (allowed): %d; cut and sent later: %d", whole, excused, counted);
        System.out.println("whole " + whole + ", cut and sent by 3 s " + excused + ", cut and sent later " + counted);
        return counted > 0 ? Bed.BROKEN : Bed.HELD;
    }

    private static void stream(Worker self, Http.Message request, OutputStream out, int events)
            throws IOException, InterruptedException {
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Wingstall-Attempt-Id: "
                        + request.header("x-wingstall-attempt-id") + "\r\nX-Wingstall-Response-Seal: " + self.seal(request)
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        for (int i = 1; i <= events; i++) {
            String event = "id: " + i + "\ndata: token " + i + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(i < events ? PAUSE_MS : 0);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private static Outcome later(Record record, Socket connection, int client, long atMs) {
        try {
            Thread.sleep(Math.max(0, atMs - record.nowMs()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ask(record, connection, client, "long-" + client, "long");
    }

    private static Outcome ask(Record record, Socket connection, int client, String id, String body) {
        long sentMs = record.nowMs();
        try {
            connection.getOutputStream()
                    .write((Config.head("POST", "/chat/x", id, DEADLINE_MS, body.length(), "") + body)
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = connection.getInputStream();
            Http.Message head = Http.readHead(in);
            if (head == null) {
                return new Outcome(client, sentMs, record.nowMs(), "closed without an answer", false);
            }
            byte[] answer = Http.readBody(in, head, true);
            record.say("client %d: %s answered %d, %d bytes", client, id, head.status(), answer.length);
            return new Outcome(client, sentMs, record.nowMs(), "status " + head.status(), true);
        } catch (IOException e) {
            return new Outcome(client, sentMs, record.nowMs(), "ended: " + e.getMessage(), false);
        }
    }
}
