package org.wingstall.net.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;

/**
 * A request to send.
 *
 * <p>{@code OutgoingRequest.post(address, "/v1/stage", bytes)}
 *
 * @param address where to
 * @param method HTTP method
 * @param path path and query
 * @param headers headers besides the length; the address stands in for a missing host
 * @param body the body; empty for none
 * @param reuseIdleMs a kept connection that has been idle for longer is not used, in ms; 0 opens a connection of its own,
 *     so that a kept one closed meanwhile can't leave open whether the request arrived
 * @param keepsConnection whether other requests may use the connection after the answer
 * @param identifyingHeader header of the request that its answer carries back; null when answers carry none
 * @since 0.1
 */
public record OutgoingRequest(
        InetSocketAddress address,
        String method,
        String path,
        HttpHeaders headers,
        byte[] body,
        long reuseIdleMs,
        boolean keepsConnection,
        CharSequence identifyingHeader) {
    /** Any kept connection will do. */
    public static final long ANY_IDLE_MS = Long.MAX_VALUE;

    private static final byte[] NO_BODY = {};

    /** Returns a POST of a JSON body over a kept connection. */
    public static OutgoingRequest post(InetSocketAddress address, String path, byte[] body) {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, HttpCall.JSON);
        return new OutgoingRequest(address, "POST", path, headers, body, ANY_IDLE_MS, true, null);
    }

    /** Returns a GET over a kept connection. */
    public static OutgoingRequest get(InetSocketAddress address, String path) {
        return new OutgoingRequest(address, "GET", path, new DefaultHttpHeaders(), NO_BODY, ANY_IDLE_MS, true, null);
    }

    /** Returns the same request over a connection of its own. */
    public OutgoingRequest fresh() {
        return reusing(0);
    }

    /** Returns the same request over a connection that was idle for this long at most, in ms, or over a new one. */
    public OutgoingRequest reusing(long idleMs) {
        return new OutgoingRequest(address, method, path, headers, body, idleMs, keepsConnection, identifyingHeader);
    }

    /**
     * Returns the same request over a connection that no other request uses, before or after. So nothing else that the
     * other side sends, now or late, can be taken for the answer, although the answer does not name its request.
     */
    public OutgoingRequest onOwnConnection() {
        return new OutgoingRequest(address, method, path, headers, body, 0, false, identifyingHeader);
    }

    /** Returns the same request, whose answer carries back the value of a header. */
    public OutgoingRequest identifiedBy(CharSequence header) {
        return new OutgoingRequest(address, method, path, headers, body, reuseIdleMs, keepsConnection, header);
    }

    /** Returns the same request with one more header. */
    public OutgoingRequest with(CharSequence name, String value) {
        HttpHeaders more = headers.copy().set(name, value);
        return new OutgoingRequest(address, method, path, more, body, reuseIdleMs, keepsConnection, identifyingHeader);
    }

    /** Returns the identifier that the answer carries back; null when it carries none. */
    String identifier() {
        return identifyingHeader == null ? null : headers.get(identifyingHeader);
    }

    /** Returns whether an answer belongs to this request, as far as its headers can show. */
    boolean answeredBy(HttpHeaders answer) {
        String identifier = identifier();
        return identifier == null || identifier.equals(answer.get(identifyingHeader));
    }
}
