package org.wingstall.relay.wire;

/**
 * Thrown when the configuration or the list of endpoints can't be read.
 *
 * <p>{@code if (failure.kind() == SourceException.Kind.HISTORY_GONE) { readWhole(); }}
 *
 * @since 0.2
 */
public final class SourceException extends Exception {
    private final Kind kind;

    /** Kinds of failure. */
    public enum Kind {
        /** No response arrived. */
        UNANSWERED,
        /** The source refused the read. */
        REFUSED,
        /** The source no longer knows the changes after the last response. */
        HISTORY_GONE,
        /** The response is invalid. */
        UNREADABLE
    }

    /**
     * Creates a failure.
     *
     * @param kind kind of failure
     * @param detail description for the log
     */
    public SourceException(Kind kind, String detail) {
        super(detail, null, false, false);
        this.kind = kind;
    }

    /** Returns the kind of failure. */
    public Kind kind() {
        return kind;
    }
}
