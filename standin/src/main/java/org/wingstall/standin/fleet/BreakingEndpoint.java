package org.wingstall.standin.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;

/**
 * Stands in for an engine whose stream is framed and ends as asked, byte by byte, on plain sockets.
 *
 * <p>{@code new BreakingEndpoint("e1", Framing.CONNECTION, Ending.ORDERLY, "id: 1\ndata: a").start();}
 *
 * @since 0.16
 */
public final class BreakingEndpoint implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(BreakingEndpoint.class);
    private static final String LINE_END = "\r\n";
    private static final String ID = "X-Wingstall-Attempt-Id:";

    /** Time between the last byte and a reset, in ms; a reset that overtakes its bytes is another case. */
    private static final long RESET_AFTER_MS = 30;

    private final String incarnation;
    private final Framing framing;
    private final Ending ending;
    private final String body;
    private ServerSocket listener;

    /** How the head of the answer says where its body ends. */
    public enum Framing {
        /** It does not, so that the body ends with the connection. */
        CONNECTION("HTTP/1.1 200 OK", ""),
        /** The same, and it says that the connection will be closed. */
        CONNECTION_CLOSE("HTTP/1.1 200 OK", "Connection: close" + LINE_END),
        /** The same, in the earlier version of the protocol. */
        HTTP_1_0("HTTP/1.0 200 OK", ""),
        /** The body comes in chunks. */
        CHUNKS("HTTP/1.1 200 OK", "Transfer-Encoding: chunked" + LINE_END);

        private final String statusLine;
        private final String header;

        Framing(String statusLine, String header) {
            this.statusLine = statusLine;
            this.header = header;
        }
    }

    /** What follows the last byte of the body. */
    public enum Ending {
        /** The connection is closed in order. */
        ORDERLY,
        /** The connection is reset. */
        RESET,
        /** The last chunk is sent, then the connection is closed in order. */
        LAST_CHUNK
    }

    /**
     * Creates an endpoint.
     *
     * @param incarnation its identifier
     * @param framing framing of its answers
     * @param ending how they end
     * @param body their bytes
     */
    public BreakingEndpoint(String incarnation, Framing framing, Ending ending, String body) {
        this.incarnation = incarnation;
        this.framing = framing;
        this.ending = ending;
        this.body = body;
    }

    /**
     * Starts to listen.
     *
     * @return its address
     */
    public String start() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread acceptor = new Thread(this::accept, "breaking-" + incarnation);
        acceptor.setDaemon(true);
        acceptor.start();
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                serve(socket);
            } catch (SocketException e) {
                LogEvent.info("breaking-endpoint-connection-ended")
                        .with("endpoint", incarnation)
                        .with("why", e.getMessage())
                        .to(LOG);
            } catch (IOException | InterruptedException e) {
                LogEvent.warn("breaking-endpoint-failed")
                        .with("endpoint", incarnation)
                        .cause(e)
                        .to(LOG);
            }
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        String id = readRequest(socket);
        if (id == null) {
            write(socket, "HTTP/1.1 200 OK" + LINE_END + "Content-Length: 2" + LINE_END + LINE_END + "{}");
            return;
        }
        write(
                socket,
                String.join(
                        LINE_END,
                        framing.statusLine,
                        "X-Wingstall-Attempt-Id: " + id,
                        "X-Wingstall-Response-Seal: seal-of-" + incarnation,
                        "Content-Type: text/event-stream",
                        framing.header + LINE_END));
        write(socket, framing == Framing.CHUNKS ? chunk() : body);
        if (ending == Ending.RESET) {
            TimeUnit.MILLISECONDS.sleep(RESET_AFTER_MS);
            socket.setSoLinger(true, 0);
        }
    }

    private String chunk() {
        String chunk = body.isEmpty() ? "" : Integer.toHexString(body.length()) + LINE_END + body + LINE_END;
        return ending == Ending.LAST_CHUNK ? chunk + "0" + LINE_END + LINE_END : chunk;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    /** Reads a request; returns its identifier, or null without one. */
    private static String readRequest(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String id = null;
        int length = 0;
        for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
            if (line.regionMatches(true, 0, ID, 0, ID.length())) {
                id = line.substring(ID.length()).strip();
            }
            if (line.regionMatches(true, 0, "content-length:", 0, "content-length:".length())) {
                length = Integer.parseInt(
                        line.substring("content-length:".length()).strip());
            }
        }
        // Bytes that are left unread would turn an orderly end into a reset.
        for (int i = 0; i < length; i++) {
            reader.read();
        }
        return id;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
