package org.wingstall.standin.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * An endpoint that answers each request with bytes without end, until its connection is closed by the other side.
 *
 * <p>{@code EndlessEndpoint endpoint = new EndlessEndpoint(Kind.HEADER_LINES, 50_000_000); fleet.list(...);}
 *
 * @since 0.18
 */
public final class EndlessEndpoint implements AutoCloseable {
    private static final String ID = "x-wingstall-attempt-id:";

    /** Most bytes that are written at once. */
    private static final int WRITE_BYTES = 8192;

    /** Writes a second at least, so that a slow endpoint notices soon that its connection was closed. */
    private static final int WRITES_PER_SECOND = 20;

    /** Bytes that the system holds on the way; a small figure keeps what was written close to what was read. */
    private static final int SEND_BUFFER_BYTES = 16_384;

    /** Bytes after which it ends all the same, so that a reader without a limit does not fill the memory of a test. */
    private static final long MOST_BYTES = 64_000_000;

    private final ServerSocket server;
    private final ExecutorService threads = Executors.newCachedThreadPool(runnable -> {
        Thread thread = new Thread(runnable, "endless-endpoint");
        thread.setDaemon(true);
        return thread;
    });
    private final Kind kind;
    private final long bytesPerSecond;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final List<Long> written = new CopyOnWriteArrayList<>();

    /** Where the bytes come. */
    public enum Kind {
        /** Instead of a head, without the end of a line. */
        FIRST_LINE("", "x"),
        /** Empty lines before a head. */
        EMPTY_LINES("", "\r\n"),
        /** Lines of a head. */
        HEADER_LINES("HTTP/1.1 200 OK\r\n%s", "X-More: of it\r\n"),
        /** One line of a head. */
        HEADER_VALUE("HTTP/1.1 200 OK\r\n%sX-More: ", "x"),
        /** Heads that announce an answer. */
        INTERIM_ANSWERS("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        /** The size of a chunk. */
        CHUNK_SIZE("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "0"),
        /** What may follow the size of a chunk. */
        CHUNK_EXTENSION("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5;", "x"),
        /** Lines after the last chunk. */
        TRAILERS("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: of it\r\n"),
        /** Chunks. */
        CHUNKS("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"),
        /** A body that ends with its connection. */
        BODY("HTTP/1.1 200 OK\r\n%s\r\n", "x"),
        /** A body whose length is more than any box holds. */
        LONG_BODY("HTTP/1.1 200 OK\r\n%sContent-Length: 1000000000000\r\n\r\n", "x"),
        /** Bytes after a whole answer. */
        PAST_LENGTH("HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", "x"),
        /** The body of a failure. */
        FAILURE("HTTP/1.1 500 Failed\r\n%s\r\n", "x"),
        /** The body of a refusal. */
        REFUSAL("HTTP/1.1 503 Full\r\n%sX-Wingstall-Not-Executed: 1\r\n\r\n", "x"),
        /** A line of an event. */
        EVENT_LINE("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\ndata: ", "x"),
        /** Lines of an event. */
        EVENT_LINES("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", "data: x\n");

        private final String prefix;
        private final String repeated;

        Kind(String prefix, String repeated) {
            this.prefix = prefix;
            this.repeated = repeated;
        }
    }

    /**
     * Starts an endpoint.
     *
     * @param kind where the bytes come
     * @param bytesPerSecond how fast
     * @throws IOException if no port can be had
     */
    public EndlessEndpoint(Kind kind, long bytesPerSecond) throws IOException {
        this.kind = kind;
        this.bytesPerSecond = bytesPerSecond;
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
    }

    /** Returns its address. */
    public String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Returns the number of connections on which it writes. */
    public int open() {
        return open.size();
    }

    /** Returns the bytes written on each connection that has ended. */
    public List<Long> written() {
        return List.copyOf(written);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket connection = server.accept();
                connection.setSendBufferSize(SEND_BUFFER_BYTES);
                open.add(connection);
                threads.execute(() -> answer(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void answer(Socket connection) {
        long bytes = 0;
        try (connection) {
            String headers = readHeaders(connection);
            OutputStream out = connection.getOutputStream();
            out.write(kind.prefix.formatted(headers).getBytes(StandardCharsets.US_ASCII));
            byte[] more = repeated();
            while (bytes < MOST_BYTES) {
                out.write(more);
                bytes += more.length;
                LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1) * more.length / bytesPerSecond);
            }
        } catch (IOException e) {
            // The other side has closed the connection.
        } finally {
            written.add(bytes);
            open.remove(connection);
        }
    }

    private byte[] repeated() {
        int atOnce = (int) Math.min(WRITE_BYTES, bytesPerSecond / WRITES_PER_SECOND);
        int times = Math.max(1, atOnce / kind.repeated.length());
        return kind.repeated.repeat(times).getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns the headers that make an answer one to the request. */
    private static String readHeaders(Socket connection) throws IOException {
        BufferedReader in =
                new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
        List<String> headers = new ArrayList<>(List.of("X-Wingstall-Response-Seal: seal"));
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            if (line.toLowerCase().startsWith(ID)) {
                headers.add(line);
            }
        }
        return String.join("\r\n", headers) + "\r\n";
    }

    @Override
    public void close() throws IOException {
        server.close();
        threads.shutdownNow();
        for (Socket connection : open) {
            connection.close();
        }
    }
}
