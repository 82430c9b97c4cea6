package org.wingstall.net.http;

/**
 * Tells why an HTTP call has no whole answer, and whether any of it can have reached the other side.
 *
 * <p>{@code if (!failure.requestWritten()) { callAnotherEndpoint(); }}
 *
 * @since 0.1
 */
public final class TransportException extends Exception {
    private final Kind kind;
    private final boolean requestWritten;
    private final boolean viaBox;

    /** Kinds of failure. */
    public enum Kind {
        /** No connection could be had. */
        CONNECT("connect"),
        /** The connection broke before the answer was whole. */
        RESET("reset"),
        /** The answer was not whole in time. */
        TIMEOUT("timeout"),
        /** The answer was no HTTP, or not the document that was expected. */
        PROTOCOL("protocol"),
        /** The answer belongs to another request. */
        FOREIGN("foreign");

        private final String code;

        Kind(String code) {
            this.code = code;
        }

        /** Returns the code that counters and logs show. */
        public String code() {
            return code;
        }
    }

    /**
     * Creates a failure of a connection straight to the other side.
     *
     * @param kind what went wrong
     * @param requestWritten whether a byte of the request was handed to the connection
     * @param detail what went wrong in words
     */
    public TransportException(Kind kind, boolean requestWritten, String detail) {
        this(kind, requestWritten, false, detail);
    }

    /**
     * Creates a failure.
     *
     * @param kind what went wrong
     * @param requestWritten whether a byte of the request was handed to the connection
     * @param viaBox whether the connection went by way of another box
     * @param detail what went wrong in words
     */
    public TransportException(Kind kind, boolean requestWritten, boolean viaBox, String detail) {
        super(kind.code + ": " + detail, null, false, false);
        this.kind = kind;
        this.requestWritten = requestWritten;
        this.viaBox = viaBox;
    }

    /** Returns what went wrong. */
    public Kind kind() {
        return kind;
    }

    /** Returns whether the other side closed a connection straight to it after the request, as when it ends. */
    public boolean closedByPeer() {
        return kind == Kind.RESET && requestWritten && !viaBox;
    }

    /** Returns whether a byte of the request was handed to the connection. */
    public boolean requestWritten() {
        return requestWritten;
    }
}
