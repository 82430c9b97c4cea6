package org.wingstall.standin.fleet;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;

/**
 * Stands in for an endpoint that fails some requests and answers some twice, the second time late, with another status or cut
 * off anywhere, and some first answers cut off; on plain sockets. Keeps what it answered.
 *
 * <p>{@code new StutteringEndpoint("p1", StutteringEndpoint.Body.TEXT, seed).start();}
 *
 * @since 0.20
 */
public final class StutteringEndpoint implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(StutteringEndpoint.class);
    private static final String LINE_END = "\r\n";
    private static final String ID = "x-wingstall-attempt-id";
    private static final String LENGTH = "content-length";
    private static final int NOT_RUN = 503;
    private static final int[] FAILURES = {500, 422, 404, 504, NOT_RUN};

    /** Times from the first answer to the second one, in ms; 0 in the same write. */
    private static final int[] DELAYS_MS = {0, 0, 1, 3, 10, 30};

    /** One in so many first answers is cut before a whole second one. */
    private static final int FIRST_CUT_ONE_IN = 6;

    private final String name;
    private final Body body;
    private final Random random;
    private final Map<String, Answer> answers = new ConcurrentHashMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger numbers = new AtomicInteger();
    private final AtomicInteger surplus = new AtomicInteger();
    private final ScheduledExecutorService late =
            Executors.newSingleThreadScheduledExecutor(StutteringEndpoint::daemon);
    private ServerSocket listener;

    /** What a success carries. */
    public enum Body {
        /** A text with its length. */
        TEXT("text/plain", false),
        /** A text in chunks. */
        CHUNKED_TEXT("text/plain", true),
        /** An event stream in chunks. */
        EVENTS("text/event-stream", true);

        private final String type;
        private final boolean chunked;

        Body(String type, boolean chunked) {
            this.type = type;
            this.chunked = chunked;
        }
    }

    /**
     * An answer that was written, at least in part.
     *
     * @param requestId the request
     * @param ordinal 1 for the answer to the request, 2 for the surplus one
     * @param status its status
     * @param body its body
     */
    public record Answer(String requestId, int ordinal, int status, String body) {}

    /**
     * Creates an endpoint.
     *
     * @param name begins the signatures of its answers
     * @param body what its successes carry
     * @param seed decides which requests fail, which are answered twice, and how
     */
    public StutteringEndpoint(String name, Body body, long seed) {
        this.name = name;
        this.body = body;
        this.random = new Random(seed);
    }

    /**
     * Starts to listen.
     *
     * @return its address
     */
    public String start() throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept).start();
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns the answer with a signature. */
    public Optional<Answer> answer(String signature) {
        return Optional.ofNullable(answers.get(signature));
    }

    /** Returns the number of answers that were sent besides the ones that were due. */
    public int surplusAnswers() {
        return surplus.get();
    }

    private static Thread daemon(Runnable action) {
        Thread thread = new Thread(action, "stuttering-endpoint");
        thread.setDaemon(true);
        return thread;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                daemon(() -> serve(socket)).start();
            } catch (IOException e) {
                logEnd(e);
            }
        }
    }

    private void logEnd(IOException cause) {
        LogEvent.info("stuttering-endpoint-connection-ended")
                .with("endpoint", name)
                .with("why", cause.getMessage())
                .to(LOG);
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Map<String, String> headers = readHead(in);
                in.skipNBytes(Integer.parseInt(headers.getOrDefault(LENGTH, "0")));
                respond(socket.getOutputStream(), headers.get(ID));
            }
        } catch (IOException e) {
            logEnd(e);
        } finally {
            connections.remove(socket);
        }
    }

    private static Map<String, String> readHead(InputStream in) throws IOException {
        Map<String, String> headers = new ConcurrentHashMap<>();
        readLine(in);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return headers;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("end of connection");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.US_ASCII).strip();
    }

    private void respond(OutputStream out, String id) throws IOException {
        if (id == null) {
            write(out, "HTTP/1.1 200 OK" + LINE_END + "Content-Length: 2" + LINE_END + LINE_END + "{}");
            return;
        }
        boolean fails;
        boolean twice;
        int delayMs;
        String interim;
        String first;
        String second;
        synchronized (random) {
            fails = random.nextInt(2) == 0;
            twice = random.nextInt(3) > 0;
            interim = random.nextInt(4) == 0 ? "HTTP/1.1 103 Early Hints" + LINE_END + LINE_END : "";
            delayMs = DELAYS_MS[random.nextInt(DELAYS_MS.length)];
            first = answer(id, 1, fails ? FAILURES[random.nextInt(FAILURES.length)] : 200);
            second = twice ? answer(id, 2, fails ? 200 : 500) : "";
            if (twice && random.nextInt(FIRST_CUT_ONE_IN) == 0) {
                first = first.substring(0, 1 + random.nextInt(endOfFirstEvent(first) - 1));
            } else if (random.nextBoolean()) {
                second = second.substring(0, random.nextInt(second.length() + 1));
            }
        }
        if (!second.isEmpty()) {
            surplus.incrementAndGet();
        }
        write(out, interim);
        if (delayMs == 0) {
            write(out, first + second);
        } else {
            write(out, first);
            String surplusAnswer = second;
            late.schedule(() -> writeLate(out, surplusAnswer), delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private String answer(String id, int ordinal, int status) {
        String signature = name + "." + numbers.incrementAndGet();
        String text = status == 200 && body == Body.EVENTS
                ? "id: 1\ndata: first of " + signature + "\n\nid: 2\ndata: last of " + signature + "\n\n"
                : "body of " + signature;
        answers.put(signature, new Answer(id, ordinal, status, text));
        String type = status == 200 ? body.type : "text/plain";
        String framing = body.chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + text.length();
        String framed = body.chunked
                ? Integer.toHexString(text.length()) + LINE_END + text + LINE_END + "0" + LINE_END + LINE_END
                : text;
        return String.join(
                LINE_END,
                "HTTP/1.1 " + status + " Of " + name,
                "Content-Type: " + type,
                "X-Wingstall-Attempt-Id: " + id,
                "X-Wingstall-Response-Seal: " + signature,
                status == NOT_RUN ? framing + LINE_END + "X-Wingstall-Not-Executed: full" : framing,
                "",
                framed);
    }

    /** A stream that is cut later goes on at another endpoint, by its rules. */
    private static int endOfFirstEvent(String answer) {
        int end = answer.indexOf("\n\n");
        return end < 0 ? answer.length() : end;
    }

    private static void write(OutputStream out, String text) throws IOException {
        synchronized (out) {
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
    }

    private void writeLate(OutputStream out, String text) {
        try {
            write(out, text);
        } catch (IOException e) {
            logEnd(e);
        }
    }

    @Override
    public void close() throws IOException {
        late.shutdownNow();
        listener.close();
        for (Socket each : connections) {
            each.close();
        }
    }
}
