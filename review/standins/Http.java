import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP/1.1 by hand, so that a stand-in decides about every byte: a thread for each connection. */
final class Http {
    private Http() {}

    /** A request or a response: the first line, the headers in lower case, and the body. */
    record Message(String first, Map<String, String> headers, byte[] body, boolean whole) {
        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String query(String name) {
            int mark = target().indexOf('?');
            for (String pair : mark < 0 ? new String[0] : target().substring(mark + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return "";
        }
    }

    /** One connection of a server. */
    static final class Link {
        final Socket socket;
        final InputStream in;
        final OutputStream out;
        /** What the handler keeps for the connection. */
        final Map<String, Object> state = new HashMap<>();

        Link(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.UTF_8));
        }

        void respond(int status, Map<String, String> headers, String body) throws IOException {
            write(encode(status, headers, body));
        }

        /** Returns whether the other side has closed the connection; on the thread that reads it. */
        boolean closedByPeer() {
            try {
                socket.setSoTimeout(1);
                in.mark(1);
                int next = in.read();
                if (next >= 0) {
                    in.reset();
                }
                return next < 0;
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            } finally {
                try {
                    socket.setSoTimeout(0);
                } catch (IOException e) {
                    // The next read will tell.
                }
            }
        }

        /** Ends the connection by a reset, as a process that is killed does. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    static byte[] encode(int status, Map<String, String> headers, String body) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(content.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.UTF_8));
        all.writeBytes(content);
        return all.toByteArray();
    }

    /** Answers requests; on the thread of the connection. */
    interface Handler {
        void handle(Message request, Link link) throws IOException, InterruptedException;
    }

    /** A server at an address of its own. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Set<Link> links = ConcurrentHashMap.newKeySet();
        private final Handler handler;

        Server(String ip, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
            daemon(this::accept);
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            Link link = null;
            try {
                link = new Link(socket);
                links.add(link);
                while (true) {
                    Message request = read(link.in, true, false);
                    if (request == null) {
                        break;
                    }
                    handler.handle(request, link);
                }
                socket.close();
            } catch (IOException e) {
                quietly(socket);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                if (link != null) {
                    links.remove(link);
                }
            }
        }

        /** Ends all connections by a reset. */
        void resetAll() {
            links.forEach(Link::reset);
        }

        @Override
        public void close() {
            try {
                listener.close();
            } catch (IOException e) {
                // Nothing is left to close.
            }
            links.forEach(Link::reset);
        }
    }

    static void quietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("within a line");
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Reads a message; null at the end of the connection before its first byte. */
    static Message read(InputStream in, boolean request, boolean noBody) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        String header = line(in);
        while (header != null && !header.isEmpty()) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).trim().toLowerCase(), header.substring(colon + 1).trim());
            header = line(in);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = true;
        if (noBody) {
            return new Message(first, headers, new byte[0], true);
        }
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            whole = chunks(in, body);
        } else if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] bytes = in.readNBytes(length);
            body.writeBytes(bytes);
            whole = bytes.length == length;
        } else if (!request) {
            body.writeBytes(in.readAllBytes());
        }
        return new Message(first, headers, body.toByteArray(), whole);
    }

    private static boolean chunks(InputStream in, ByteArrayOutputStream body) {
        try {
            while (true) {
                String size = line(in);
                if (size == null) {
                    return false;
                }
                int length = Integer.parseInt(size.trim(), 16);
                byte[] bytes = in.readNBytes(length);
                body.writeBytes(bytes);
                if (bytes.length < length || line(in) == null) {
                    return false;
                }
                if (length == 0) {
                    return true;
                }
            }
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a request on a connection of its own and reads the whole answer. */
    static Message call(String address, String method, String target, List<String> headers, byte[] body, int timeoutMs)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address(address), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach(header -> head.append(header).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\nConnection: close\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head.toString().getBytes(StandardCharsets.UTF_8));
            all.writeBytes(body);
            socket.getOutputStream().write(all.toByteArray());
            return read(new BufferedInputStream(socket.getInputStream()), false, false);
        }
    }

    static InetSocketAddress address(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                InetAddress.getByName(address.substring(0, colon)), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Returns a port that is free at an address, below those that connections take by themselves. */
    static int freePort(String ip) throws IOException {
        for (int tries = 0; tries < 100; tries++) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another one will be free.
            }
        }
        throw new IOException("no free port at " + ip);
    }
}
