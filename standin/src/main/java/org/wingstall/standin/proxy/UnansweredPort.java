package org.wingstall.standin.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

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
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(address, 1);
        UnansweredPort port = new UnansweredPort(listener);
        for (int i = 0; i < FILLERS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(address);
            port.fillers.add(filler);
        }
        return port;
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel filler : fillers) {
            filler.close();
        }
        listener.close();
    }
}
