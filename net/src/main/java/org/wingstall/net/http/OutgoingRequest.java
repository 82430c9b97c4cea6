package org.wingstall.net.http;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * A request to send.
 *
 * <p>{@code OutgoingRequest.post(address, "/v1/stage", bytes)}
 *
 * @param address where to
 * @param method HTTP method
 * @param path path and query
 * @param headers headers besides length, host and type
 * @param body JSON body; empty for none
 * @param freshConnection whether a connection of its own is opened, so that a kept one closed meanwhile can't leave open
 *     whether the request arrived
 * @since 0.1
 */
public record OutgoingRequest(
        InetSocketAddress address,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        boolean freshConnection) {
    private static final byte[] NO_BODY = {};

    /** Returns a POST over a kept connection. */
    public static OutgoingRequest post(InetSocketAddress address, String path, byte[] body) {
        return new OutgoingRequest(address, "POST", path, Map.of(), body, false);
    }

    /** Returns a GET over a kept connection. */
    public static OutgoingRequest get(InetSocketAddress address, String path) {
        return new OutgoingRequest(address, "GET", path, Map.of(), NO_BODY, false);
    }

    /** Returns the same request over a connection of its own. */
    public OutgoingRequest fresh() {
        return new OutgoingRequest(address, method, path, headers, body, true);
    }
}
