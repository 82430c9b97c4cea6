package org.wingstall.net.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Tells how the end of a response's body was recognised.
 *
 * <p>{@code if (end == BodyEnd.CONNECTION) { checkLastRecord(); }}
 *
 * @since 0.16
 */
public enum BodyEnd {
    /** The body had the length that its head states, or can have no bytes. */
    LENGTH("length"),
    /** The last chunk came. */
    CHUNKS("chunks"),
    /** The connection was closed in order; the sender may have meant to send more. */
    CONNECTION("connection");

    private final String code;

    BodyEnd(String code) {
        this.code = code;
    }

    /** Returns the code that counters and logs show. */
    public String code() {
        return code;
    }

    /** Returns how the end of the body that follows a head is recognised. */
    static BodyEnd of(HttpResponse head) {
        if (HttpUtil.isTransferEncodingChunked(head)) {
            return CHUNKS;
        }
        boolean bounded = head.headers().contains(HttpHeaderNames.CONTENT_LENGTH) || hasNoBody(head.status());
        return bounded ? LENGTH : CONNECTION;
    }

    private static boolean hasNoBody(HttpResponseStatus status) {
        return status.codeClass() == HttpStatusClass.INFORMATIONAL
                || status.equals(HttpResponseStatus.NO_CONTENT)
                || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }
}
