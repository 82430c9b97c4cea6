import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A worker: reads requests whole, answers 421 to those meant for another one, and leaves the rest to its work. */
final class Worker implements AutoCloseable {
    /** What a worker does with a request that is meant for it. */
    interface Work {
        void run(Worker worker, Http.Message request, OutputStream out) throws IOException, InterruptedException;
    }

    final String id;
    private final ServerSocket server;
    private final Work work;
    private final Record record;

    Worker(String id, Record record, Work work) throws IOException {
        this.id = id;
        this.record = record;
        this.work = work;
        this.server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        start("worker " + id, this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the entry that it keeps in the store. */
    String entry(String service, String zone, int slots) {
        return entry(service, zone, slots, "ready");
    }

    String entry(String service, String zone, int slots, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold_left_ms\":0,\"sequence\":1}";
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                start("worker " + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            OutputStream out = socket.getOutputStream();
            for (Http.Message head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                Http.Message request = new Http.Message(head.firstLine(), head.headers(), Http.readBody(in, head, false));
                if (request.target().equals("/healthz")) {
                    out.write(("HTTP/1.1 200 OK\r\nX-Wingstall-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n").getBytes());
                } else if (!id.equals(request.header("x-wingstall-expect-instance"))) {
                    answer(out, request, 421, "X-Wingstall-Not-Executed: 1\r\n", new byte[0]);
                } else {
                    work.run(this, request, out);
                }
            }
        } catch (IOException e) {
            record.say("worker %s: a connection ended: %s", id, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the signature of an answer. */
    String seal(Http.Message request) {
        return id + "." + request.header("x-wingstall-attempt-id");
    }

    /** Sends a whole answer. */
    void answer(OutputStream out, Http.Message request, int status, String headers, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " S\r\nX-Wingstall-Attempt-Id: " + request.header("x-wingstall-attempt-id")
                + "\r\nX-Wingstall-Response-Seal: " + seal(request) + "\r\n" + headers + "Content-Length: " + body.length
                + "\r\n\r\n";
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        out.write(all);
        out.flush();
    }

    static Thread start(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
