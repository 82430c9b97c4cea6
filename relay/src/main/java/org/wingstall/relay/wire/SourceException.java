package org.wingstall.relay.wire;

/**
 * Tells why the configuration or the list of endpoints could not be read.
 *
 * <p>{@code if (failure.kind() == SourceException.RequestKind.HISTORY_GONE) { readWhole(); }}
 *
 * @since 0.2
 */
public final class SourceException extends Exception {
    private final Kind kind;

    /** Kinds of failure. */
    public enum Kind {
        /** No answer came. */
        UNANSWERED,
        /** The source refused the read. */
        REFUSED,
        /** Changes after the last answer are not known any more. */
        HISTORY_GONE,
        /** The answer is not what it should be. */
        UNREADABLE
    }

    /**
     * Creates a failure.
     *
     * @param kind what went wrong
     * @param detail what went wrong in words
     */
    public SourceException(Kind kind, String detail) {
        super(detail, null, false, false);
        this.kind = kind;
    }

    /** Returns what went wrong. */
    public Kind kind() {
        return kind;
    }
}
