package org.wingstall.core.member;

import java.net.InetSocketAddress;

/**
 * Reads addresses of the form that settings and membership lists use.
 *
 * <p>{@code Addresses.parse("127.0.0.1:8080").getPort()} is 8080.
 *
 * @since 0.1
 */
public final class Addresses {
    private Addresses() {}

    /**
     * Reads an address.
     *
     * @param text IP number, a colon and a port
     * @return the address
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns an address in the form that {@link #parse} reads. */
    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
