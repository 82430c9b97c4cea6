package org.wingstall.core.member;

import java.net.InetSocketAddress;

/**
 * Parses and formats addresses as used in settings and membership lists.
 *
 * <p>{@code Addresses.parse("127.0.0.1:8080").getPort()} is 8080.
 *
 * @since 0.1
 */
public final class Addresses {
    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param text IP address, a colon and a port
     * @return the address
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Formats an address so that {@link #parse} accepts it. */
    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
