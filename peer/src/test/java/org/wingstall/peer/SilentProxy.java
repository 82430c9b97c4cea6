package org.wingstall.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** Passes connections on, and acknowledges without passing on what comes on those that were silenced. */
final class SilentProxy implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Connection> open = new CopyOnWriteArrayList<>();
    private final int targetPort;

    /** Where bytes go. */
    enum Direction {
        TO_TARGET,
        TO_CLIENT
    }

    SilentProxy(int targetPort) throws IOException {
        this.targetPort = targetPort;
        start(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Silences the connections that are open now; later ones are not affected. */
    void silenceOpen(Set<Direction> directions) {
        open.forEach(connection -> connection.silent = EnumSet.copyOf(directions));
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "silent-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                open.add(new Connection(client, new Socket(InetAddress.getLoopbackAddress(), targetPort)));
            }
        } catch (IOException e) {
            open.forEach(Connection::close);
        }
    }

    private static final class Connection {
        private final Socket client;
        private final Socket target;
        private volatile Set<Direction> silent = EnumSet.noneOf(Direction.class);

        Connection(Socket client, Socket target) {
            this.client = client;
            this.target = target;
            start(() -> pass(client, target, Direction.TO_TARGET));
            start(() -> pass(target, client, Direction.TO_CLIENT));
        }

        /** The end of a connection that is silent in either direction is not passed on. */
        private void pass(Socket from, Socket to, Direction direction) {
            byte[] part = new byte[1 << 16];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int count = in.read(part); count >= 0; count = in.read(part)) {
                    if (!silent.contains(direction)) {
                        out.write(part, 0, count);
                    }
                }
            } catch (IOException e) {
                // Ends like an orderly end.
            }
            if (silent.isEmpty()) {
                close();
            }
        }

        void close() {
            try {
                client.close();
                target.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
