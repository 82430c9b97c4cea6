package org.wingstall.net.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.AttributeKey;
import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Opens connections for a client, directly or by way of another box.
 *
 * <p>{@code connector.connect(loop, address, 250, new Connector.Listener() {...});}
 *
 * @since 0.15
 */
public interface Connector {
    /** Set on a connection that goes by way of another box: the name of that box. */
    AttributeKey<String> VIA_BOX = AttributeKey.valueOf("wingstall.viaBox");

    /** Returns the box by way of which a connection goes; empty when it goes straight to its address. */
    static Optional<String> viaBox(Channel channel) {
        return Optional.ofNullable(channel.attr(VIA_BOX).get());
    }

    /** Receives the result of a connection attempt, on the event loop of the connection; once. */
    interface Listener {
        /** A connection is open; its pipeline has no handlers of the client yet. */
        void connected(Channel channel);

        /** No connection could be opened. */
        void failed(Throwable cause);
    }

    /**
     * Opens a connection.
     *
     * @param loop event loop of the connection; must be the calling thread's
     * @param address where to
     * @param timeoutMs longest wait for the connection, in ms
     * @param listener receives the result, during the call or later
     */
    void connect(EventLoop loop, InetSocketAddress address, int timeoutMs, Listener listener);
}
