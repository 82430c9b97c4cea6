package org.wingstall.it.relay;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.wingstall.it.harness.Pauses;

/** An endpoint on plain sockets, which stops inside the head of some of its answers, or alters the bytes of whole ones. */
final class CutHeadEndpoint implements AutoCloseable {
    private static final String LINE_END = "\r\n";
    private static final String EVENT_STREAM = "Content-Type: text/event-stream" + LINE_END;
    private static final String CHUNKED = "Transfer-Encoding: chunked" + LINE_END;
    private static final String LAST_CHUNK = "0" + LINE_END + LINE_END;
    private static final String STAGE_RUN = "/v1/stage-run";
    private static final Pattern PIECE_ID = Pattern.compile("\"id\":\"([^\"]+)\"");

    /** Time between the bytes of an answer and an end that comes late, in ms. */
    private static final long LATE_MS = 5;

    private final ServerSocket listener;
    private final String service;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Set<String> ids = ConcurrentHashMap.newKeySet();
    private final Set<String> cutIds = ConcurrentHashMap.newKeySet();
    private volatile Cut cut = Cut.none(Which.ANY);
    private volatile UnaryOperator<String> edit = UnaryOperator.identity();

    /** How a head says where its body ends. */
    enum Framing {
        LENGTH("Content-Length: 9" + LINE_END),
        NO_BODY("Content-Length: 0" + LINE_END),
        CHUNKS(CHUNKED),
        CLOSE("Connection: close" + LINE_END),
        NONE(""),
        EVENTS(EVENT_STREAM + CHUNKED);

        private final String headers;

        Framing(String headers) {
            this.headers = headers;
        }

        /** Returns the head of a success. */
        String head(String id) {
            return String.join(
                    LINE_END,
                    "HTTP/1.1 200 OK",
                    "X-Wingstall-Attempt-Id: " + id,
                    "X-Wingstall-Response-Seal: seal",
                    headers + LINE_END);
        }
    }

    /** How a connection ends. */
    enum End {
        CLOSED,
        CLOSED_LATE,
        RESET;

        void play(Socket socket) throws IOException {
            if (this != CLOSED) {
                Pauses.ofMs(LATE_MS);
            }
            if (this == RESET) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
        }
    }

    /** Which answers are cut. */
    enum Which {
        ANY,
        /** Those that come after an interim answer. */
        AFTER_INTERIM,
        /** Those on connections that carried an answer before. */
        ON_KEPT_CONNECTION,
        /** Those that go on with a stream; an earlier one breaks off after an event. */
        RESUMED
    }

    /** An answer of which only some bytes of its head are sent; all answers of that kind are whole when negative. */
    record Cut(Which which, Framing framing, End end, int bytes) {
        static Cut none(Which which) {
            return new Cut(which, Framing.NONE, End.CLOSED, -1);
        }
    }

    private record Request(String path, Map<String, String> headers, String body) {
        /** Returns the identifier of the request, or that of the first piece of a call. */
        String id() {
            Matcher piece = PIECE_ID.matcher(body);
            return path.equals(STAGE_RUN) && piece.find() ? piece.group(1) : headers.get("x-wingstall-attempt-id");
        }

        boolean resumes() {
            return headers.containsKey("last-event-id");
        }
    }

    CutHeadEndpoint(String service) throws IOException {
        this.service = service;
        this.listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        threads.execute(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Sets what is cut from now on. */
    void cut(Cut next) {
        cut = next;
    }

    /** Sets how whole answers are altered from now on. */
    void edit(UnaryOperator<String> next) {
        edit = next;
    }

    /** Returns the requests that came. */
    Set<String> ids() {
        return ids;
    }

    /** Returns the requests whose answer was cut. */
    Set<String> cutIds() {
        return cutIds;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                threads.execute(() -> serve(socket));
            } catch (IOException e) {
                // The listener was closed.
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (Closeable closing = socket) {
            socket.setTcpNoDelay(true);
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            boolean kept = false;
            for (Request request = read(reader); request != null; request = read(reader)) {
                answer(socket, request, kept);
                kept = request.id() != null;
            }
        } catch (IOException e) {
            // The other side, or an answer that was cut, ended the connection.
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Socket socket, Request request, boolean kept) throws IOException {
        Cut now = cut;
        String id = request.id();
        if (id != null) {
            ids.add(id);
        }
        if (id != null && now.which() == Which.RESUMED && !request.resumes()) {
            write(socket, Framing.EVENTS.head(id) + event(id));
            socket.close();
        } else if (id == null || now.bytes() < 0 || now.which() == Which.ON_KEPT_CONNECTION && !kept) {
            answerWhole(socket, request);
        } else {
            cutIds.add(id);
            String before = now.which() == Which.AFTER_INTERIM ? "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" : "";
            write(socket, before + now.framing().head(id).substring(0, now.bytes()));
            now.end().play(socket);
        }
    }

    private void answerWhole(Socket socket, Request request) throws IOException {
        String id = request.id();
        if (id == null || request.path().equals(STAGE_RUN)) {
            String results = PIECE_ID.matcher(request.body())
                    .results()
                    .map(piece -> "{\"kv_handle\":\"" + piece.group(1) + "." + piece.start() + "\"}")
                    .collect(Collectors.joining(","));
            String body = "{\"items\":[" + results + "]}";
            write(socket, edit.apply("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
        } else if (service.equals("engine")) {
            write(socket, edit.apply(Framing.EVENTS.head(id) + event(id) + LAST_CHUNK));
        } else {
            write(socket, edit.apply(Framing.LENGTH.head(id) + "an answer"));
        }
    }

    private static String event(String id) {
        String event = "id: 1\ndata: token 1 of " + id + "\n\n";
        return Integer.toHexString(event.length()) + LINE_END + event + LINE_END;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private static Request read(BufferedReader reader) throws IOException {
        String requestLine = reader.readLine();
        if (requestLine == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        // Bytes that are left unread would turn an orderly end into a reset.
        char[] body = new char[Integer.parseInt(headers.getOrDefault("content-length", "0"))];
        int length = 0;
        while (length < body.length) {
            int more = reader.read(body, length, body.length - length);
            if (more < 0) {
                return null;
            }
            length += more;
        }
        return new Request(requestLine.split(" ")[1], headers, new String(body));
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
        threads.shutdown();
    }
}
