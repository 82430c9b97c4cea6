package org.wingstall.net.http;

/**
 * Why a server turned a request away before a handler saw it.
 *
 * <p>{@code Rejection.BODY_TOO_LARGE.status()} is 413.
 *
 * @since 0.1
 */
public enum Rejection {
    /** The bytes are no HTTP. */
    BAD_HTTP(400),
    /** The body is larger than the limit. */
    BODY_TOO_LARGE(413),
    /** The request took too long to arrive. */
    SLOW_REQUEST(408),
    /** Too many connections are open. */
    TOO_MANY_CONNECTIONS(429);

    private final int status;

    Rejection(int status) {
        this.status = status;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Makes the body that goes with a rejection, and counts it. */
    @FunctionalInterface
    public interface Body {
        /** Returns the JSON body for a rejection. */
        byte[] of(Rejection rejection);
    }
}
