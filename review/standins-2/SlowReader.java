import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 5. Clients with kept connections read long answers slowly for some seconds, and then at once, while their box gets
 * SIGTERM. The worker has given each answer whole before the SIGTERM. Counted are the answers that end early within the
 * grace of the stop.
 */
final class SlowReader {
    private static final int CLIENTS = 5;
    private static final int ANSWER_BYTES = 4_190_000;
    private static final int SLOW_BYTES_PER_S = 250_000;
    private static final int SLOW_MS = 5000;
    private static final int STEP_BYTES = 25_000;
    private static final int DEADLINE_MS = 20_000;
    private static final int GRACE_MS = 8000;

    /** What became of one request. */
    private record Outcome(int client, long endedMs, int bytes, String how, boolean whole) {}

    private SlowReader() {}

    public static void main(String[] arguments) throws Exception {
        Bed.main(arguments, SlowReader::run);
    }

    private static int run(Bed bed) throws Exception {
        Record record = bed.record;
        bed.store.put(
                "op",
                "config",
                Config.document(
                        1,
                        Config.service("quote-api", 96),
                        Config.route("quotes", "non_idempotent", "quote-api", 1, DEADLINE_MS, false)));
        Set<String> given = ConcurrentHashMap.newKeySet();
        byte[] answer = new byte[ANSWER_BYTES];
        for (int i = 0; i < 3; i++) {
            Worker worker = bed.worker("i-worker-" + i, (self, request, out) -> {
                String id = request.header("x-wingstall-attempt-id");
                record.say("worker %s runs %s", self.id, id);
                boolean brief = new String(request.body(), StandardCharsets.US_ASCII).equals("short");
                self.answer(out, request, 200, "", brief ? new byte[10] : answer);
                given.add(id);
                record.say("worker %s has given the whole answer to %s", self.id, id);
            });
            bed.store.put("servers", worker.id, worker.entry("quote-api", "hall-a", 6));
        }
        Box box = bed.box("edge-hall-a-1", "hall-a");
        Thread.sleep(500);
        List<Socket> connections = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket connection = new Socket();
            connection.setReceiveBufferSize(65_536);
            connection.connect(new InetSocketAddress("127.0.0.1", box.front()), 1000);
            connection.setSoTimeout(25_000);
            connections.add(connection);
            send(connection, "first-" + i, "short");
            Http.Message head = Http.readHead(connection.getInputStream());
            Http.readBody(connection.getInputStream(), head, true);
        }
        List<Outcome> outcomes = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Worker.start("client", () -> {
                Outcome outcome = ask(record, connections.get(client), client);
                synchronized (outcomes) {
                    outcomes.add(outcome);
                }
            }));
        }
        long untilMs = record.nowMs() + 1500;
        while (given.size() < 2 * CLIENTS && record.nowMs() < untilMs) {
            Thread.sleep(10);
        }
        Thread.sleep(100);
        int before = given.size() - CLIENTS;
        record.say("answers that workers have given whole: %d of %d", before, CLIENTS);
        if (before < CLIENTS) {
            return Bed.COULD_NOT_RUN;
        }
        long stopMs = record.nowMs();
        if (bed.trouble) {
            box.signal("TERM");
        }
        for (Thread client : clients) {
            client.join();
        }
        int counted = 0;
        int whole = 0;
        for (Outcome outcome : outcomes) {
            long afterMs = outcome.endedMs() - stopMs;
            record.say(
                    "client %d: %s after %d of %d bytes, %d ms after the stop began",
                    outcome.client(), outcome.how(), outcome.bytes(), ANSWER_BYTES, afterMs);
            whole += outcome.whole() ? 1 : 0;
            counted += !outcome.whole() && afterMs < GRACE_MS + 1000 ? 1 : 0;
        }
        record.say("answered whole: %d; ended early within the grace: %d", whole, counted);
        System.out.println("whole " + whole + ", ended early within the grace " + counted);
        return counted > 0 ? Bed.BROKEN : Bed.HELD;
    }

    private static void send(Socket connection, String id, String body) throws IOException {
        connection.getOutputStream()
                .write((Config.head("POST", "/quotes/x", id, DEADLINE_MS, body.length(), "") + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** Asks, and reads slowly for some seconds, some bytes ten times a second; then as fast as they come. */
    private static Outcome ask(Record record, Socket connection, int client) {
        int got = 0;
        try {
            send(connection, "long-" + client, "long");
            InputStream in = connection.getInputStream();
            Http.Message head = Http.readHead(in);
            if (head == null) {
                throw new EOFException("closed without an answer");
            }
            int length = Integer.parseInt(head.header("content-length"));
            long beganMs = record.nowMs();
            byte[] part = new byte[STEP_BYTES];
            while (got < length) {
                int read = in.read(part);
                if (read < 0) {
                    throw new EOFException("the connection ended");
                }
                got += read;
                long dueMs = beganMs + got * 1000L / SLOW_BYTES_PER_S;
                long leftMs = Math.min(dueMs, beganMs + SLOW_MS) - record.nowMs();
                if (leftMs > 0) {
                    Thread.sleep(leftMs);
                }
            }
            return new Outcome(client, record.nowMs(), got, "status " + head.status(), true);
        } catch (IOException e) {
            return new Outcome(client, record.nowMs(), got, String.valueOf(e.getMessage()), false);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Outcome(client, record.nowMs(), got, "interrupted", false);
        }
    }
}
