package org.wingstall.relay.wire;

/**
 * The result of a piece: the handle of a stored result, or the reason for a failure.
 *
 * <p>{@code if (result.made()) { use(result.handle()); }}
 *
 * @param handle handle of the stored result; null after a failure
 * @param failure reason for the failure; null after a success
 * @since 0.2
 */
public record PieceResult(String handle, Failure failure) {
    /** Why a piece has no result. */
    public enum Failure {
        /** Its deadline passed while it was queued. */
        LATE,
        /** It was rejected because it would have finished too late. */
        NOT_IN_TIME,
        /** A result that it reads no longer exists. */
        INPUT_GONE,
        /** The endpoint has no result capacity left. */
        NO_ROOM,
        /** The endpoint failed to run it. */
        ERROR,
        /** The call had no response. */
        UNANSWERED,
        /** No endpoint of the service can be called. */
        NO_ENDPOINT,
        /** Endpoints crashed while they ran it, so it is not sent to another one. */
        QUARANTINED;

        /** Returns the failure with the given name; {@link #ERROR} for a name that only later versions know. */
        public static Failure fromName(String name) {
            for (Failure failure : values()) {
                if (failure.name().equals(name)) {
                    return failure;
                }
            }
            return ERROR;
        }
    }

    /** Returns the result of a successful piece. */
    public static PieceResult of(String handle) {
        return new PieceResult(handle, null);
    }

    /** Returns the result of a failed piece. */
    public static PieceResult failed(Failure failure) {
        return new PieceResult(null, failure);
    }

    /** Returns whether the piece has a stored result. */
    public boolean success() {
        return handle != null;
    }
}
