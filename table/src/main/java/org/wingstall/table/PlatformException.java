package org.wingstall.table;

/**
 * Tells that the platform gave no usable answer.
 *
 * <p>{@code if (failure.kind() == PlatformException.Kind.UNANSWERED) { readBack(); }}
 *
 * @since 0.1
 */
public final class PlatformException extends Exception {
    private final Kind kind;

    /** Kinds of failure. */
    public enum Kind {
        /** No answer came; a write may have taken effect or may yet. */
        UNANSWERED,
        /** The platform never got the request. */
        NOT_SENT,
        /** The platform refused the request; nothing took effect. */
        REFUSED
    }

    /**
     * Creates a failure.
     *
     * @param kind what is known of the call
     * @param message what happened
     */
    public PlatformException(Kind kind, String detail) {
        super(detail, null, false, false);
        this.kind = kind;
    }

    /** Returns the kind of failure. */
    public Kind kind() {
        return kind;
    }
}
