package org.wingstall.net.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole answer.
 *
 * <p>{@code if (reply.ok()) { Json.read(reply.body(), Rows.class); }}
 *
 * @param status HTTP status
 * @param body bytes of the body
 * @param headers headers of the answer
 * @since 0.1
 */
public record HttpReply(int status, byte[] body, HttpHeaders headers) {
    private static final int NOT_MODIFIED = 304;

    /** Returns whether the body is the one that the request named by its entity tag. */
    public boolean notModified() {
        return status == NOT_MODIFIED;
    }

    /** Returns the entity tag of the body, or null. */
    public String etag() {
        return headers.get(HttpHeaderNames.ETAG);
    }

    /** Returns whether the status is in the 200s. */
    public boolean ok() {
        return status / 100 == 2;
    }
}
