package org.wingstall.net;

import io.netty.channel.Channel;

/**
 * Decides on the connections that a listener takes. All methods are for the event loop of the listener.
 *
 * <p>{@code listener.accept(initializer, ConnectionGate.OPEN);} reads all connections as they come.
 *
 * @since 0.18
 */
public interface ConnectionGate {
    /** Lets all connections in at once. */
    ConnectionGate OPEN = new ConnectionGate() {
        @Override
        public boolean admit(Channel connection) {
            return true;
        }

        @Override
        public boolean overloaded() {
            return false;
        }
    };

    /**
     * Decides on a connection that was accepted and has no event loop yet. A connection that may wait is not read until
     * the gate lets it.
     *
     * @param connection the connection
     * @return false if it is to be closed without reading from it
     */
    boolean admit(Channel connection);

    /** Returns whether connections are closed unread at the moment; of any thread. */
    boolean overloaded();
}
