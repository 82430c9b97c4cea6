package org.wingstall.net;

import java.net.InetSocketAddress;

/**
 * Thrown when a process can't listen on an address.
 *
 * <p>{@code can't listen on 127.0.0.1:80: Permission denied}
 *
 * @since 0.1
 */
public final class BindException extends Exception {
    /**
     * Creates the failure.
     *
     * @param address the address
     * @param cause what the system said
     */
    public BindException(InetSocketAddress address, Throwable cause) {
        super(
                "can't listen on " + address.getHostString() + ":" + address.getPort() + ": " + cause.getMessage(),
                cause);
    }
}
