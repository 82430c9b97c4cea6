import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients as the platform lets them in: a connection goes to the box of their zone while that counts as ready. */
final class Clients {
    static final String KEY = "9dnn2ctnfzs989anu6ws";

    private final Box own;
    private final Box other;
    private final Record record;
    private static final AtomicInteger NUMBERS = new AtomicInteger();

    private volatile boolean in = true;

    private static final class Sent {
        private final long atNs;
        private volatile boolean served;

        Sent(long atNs) {
            this.atNs = atNs;
        }
    }

    Clients(Box own, Box other, Record record) {
        this.own = own;
        this.other = other;
        this.record = record;
        Http.daemon(this::ask);
    }

    /** The platform asks each second; two misses take a box out, a 200 brings it back. */
    private void ask() {
        int missed = 0;
        try {
            while (true) {
                missed = own.ready() ? 0 : missed + 1;
                in = missed == 0 || in && missed < 2;
                Thread.sleep(1000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one request of the kind and reads its answer; on a thread of its own. */
    void send(String kind, String path, int pieces, int tokens, int deadlineMs) {
        String id = String.format("%08x", 0x9c41d000 + NUMBERS.incrementAndGet()) + "e2a35f68";
        Box box = in ? own : other;
        Http.daemon(() -> {
            try {
                request(box, id, kind, path, pieces, tokens, deadlineMs);
            } catch (IOException e) {
                record.note("client: " + id + " at " + box.name + ": no answer, " + e.getMessage());
            }
        });
    }

    private void request(Box box, String id, String kind, String path, int pieces, int tokens, int deadlineMs)
            throws IOException {
        List<String> headers = List.of(
                "Host: pule25.example",
                "X-Wingstall-Attempt-Id: " + id,
                "X-Wingstall-Model: m",
                "X-Wingstall-Token-Count: " + tokens + ",120",
                "X-Wingstall-Prefix-Hash: 5c1e07a2:800," + id + ":" + (tokens - 800),
                "X-Wingstall-Pieces: " + pieces,
                "X-Wingstall-Piece-Key: " + id,
                "X-Wingstall-Deadline-Ms: " + deadlineMs,
                "X-Api-Key: " + KEY);
        record.note("client: sends " + id + " (" + kind + ", " + pieces + " pieces) to " + box.name);
        Http.Message answer =
                Http.call(box.front, "POST", path, headers, "prompt".getBytes(StandardCharsets.UTF_8), deadlineMs);
        record.note("client: " + id + " gets " + (answer == null ? "no answer" : answer.first() + ", seal "
                + answer.header("X-Wingstall-Response-Seal") + ", " + (answer.whole() ? "whole" : "cut")));
    }
}
