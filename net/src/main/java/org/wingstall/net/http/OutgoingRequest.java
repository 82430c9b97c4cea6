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
 * @param connection which connection it uses
 * @param identifyingHeader header of the request that its answer carries back; null when answers carry none
 * @since 0.1
 */
public record OutgoingRequest(
        InetSocketAddress address,
        String method,
        String path,
        HttpHeaders headers,
        byte[] body,
        ConnectionUse connection,
        CharSequence identifyingHeader) {
    private static final byte[] NO_BODY = {};

    /** Returns a POST of a JSON body over a kept connection. */
    public static OutgoingRequest post(InetSocketAddress address, String path, byte[] body) {
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, HttpCall.JSON);
        return new OutgoingRequest(address, "POST", path, headers, body, ConnectionUse.KEPT, null);
    }

    /** Returns a GET over a kept connection. */
    public static OutgoingRequest get(InetSocketAddress address, String path) {
        return new OutgoingRequest(address, "GET", path, new DefaultHttpHeaders(), NO_BODY, ConnectionUse.KEPT, null);
    }

    /** Returns the same request over a new connection. */
    public OutgoingRequest fresh() {
        return over(ConnectionUse.NEW);
    }

    /** Returns the same request with another use of connections. */
    public OutgoingRequest over(ConnectionUse use) {
        return new OutgoingRequest(address, method, path, headers, body, use, identifyingHeader);
    }

    /** Returns the same request, whose answer carries back the value of a header. */
    public OutgoingRequest identifiedBy(CharSequence header) {
        return new OutgoingRequest(address, method, path, headers, body, connection, header);
    }

    /** Returns the same request with one more header. */
    public OutgoingRequest with(CharSequence name, String value) {
        HttpHeaders more = headers.copy().set(name, value);
        return new OutgoingRequest(address, method, path, more, body, connection, identifyingHeader);
    }

    /** Returns the identifier that the answer carries back; null when it carries none. */
    String identifier() {
        return identifyingHeader == null ? null : headers.get(identifyingHeader);
    }

    /** Returns whether an answer belongs to this request, as far as its headers can show. */
    boolean answeredBy(HttpHeaders answer) {
        String identifier = identifier();
        return identifier == null || identifier.equals(identifierOf(answer));
    }

    /** Returns the identifier that an answer carries back; null when it carries none. */
    String identifierOf(HttpHeaders answer) {
        return identifyingHeader == null ? null : answer.get(identifyingHeader);
    }
}
