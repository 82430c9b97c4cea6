package org.wingstall.standin.proxy;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A port whose connections never come up, as behind a silent cut: its queue of new connections is full.
 *
 * <p>{@code UnansweredPort port = UnansweredPort.open(address); ... port.close();}
 *
 * @since 0.15
 */
final class UnansweredPort implements AutoCloseable {
    /** Connections that fill the queue of a listener with the smallest backlog, with some to spare. */
    private static final int FILLERS = 4;

    /** Time within which a port that was closed can be had again, in ms. */
    private static final long BIND_WITHIN_MS = 1000;

    private static final long BIND_PAUSE_MS = 5;

    private final ServerSocket listener;
    private final List<SocketChannel> fillers = new ArrayList<>();

    private UnansweredPort(ServerSocket listener) {
        this.listener = listener;
    }

    /**
     * Opens a port.
     *
     * @throws IOException if the address can't be had
     */
    static UnansweredPort open(InetSocketAddress address) throws IOException {
        UnansweredPort port = new UnansweredPort(listen(address));
        for (int i = 0; i < FILLERS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(address);
            port.fillers.add(filler);
        }
        return port;
    }

    /** A process that is being started holds the descriptors of this one for a moment, and with them a port just closed. */
    private static ServerSocket listen(InetSocketAddress address) throws IOException {
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BIND_WITHIN_MS);
        while (true) {
            ServerSocket listener = new ServerSocket();
            listener.setReuseAddress(true);
            try {
                listener.bind(address, 1);
                return listener;
            } catch (BindException e) {
                listener.close();
                if (System.nanoTime() > untilNs) {
                    throw e;
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(BIND_PAUSE_MS));
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel filler : fillers) {
            filler.close();
        }
        listener.close();
    }
}
