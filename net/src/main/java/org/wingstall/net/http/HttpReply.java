package org.wingstall.net.http;

/**
 * A whole answer.
 *
 * <p>{@code if (reply.ok()) { Json.read(reply.body(), Rows.class); }}
 *
 * @param status HTTP status
 * @param body bytes of the body
 * @since 0.1
 */
public record HttpReply(int status, byte[] body) {
    /** Returns whether the status is in the 200s. */
    public boolean ok() {
        return status / 100 == 2;
    }
}
