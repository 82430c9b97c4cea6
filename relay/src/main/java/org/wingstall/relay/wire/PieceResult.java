package org.wingstall.relay.wire;

/**
 * What became of a piece: a result to read at its maker, or the reason for none.
 *
 * <p>{@code if (result.made()) { use(result.handle()); }}
 *
 * @param handle name of the result; null when there is none
 * @param failure why there is none; null when there is one
 * @since 0.2
 */
public record PieceResult(String handle, Failure failure) {
    /** Why a piece has no result. */
    public enum Failure {
        /** Its time was over when its turn came. */
        LATE,
        /** It would not have been made while it is wanted. */
        NOT_IN_TIME,
        /** A result that it reads is gone. */
        INPUT_GONE,
        /** The endpoint has no room for results. */
        NO_ROOM,
        /** The endpoint failed at it. */
        ERROR,
        /** The call had no answer. */
        UNANSWERED,
        /** No endpoint of the service serves. */
        NO_ENDPOINT,
        /** Endpoints ended while they made it, so it is sent to no other. */
        QUARANTINED;

        /** Returns a failure by its name; one that only later versions know is an error. */
        public static Failure fromName(String name) {
            for (Failure failure : values()) {
                if (failure.name().equals(name)) {
                    return failure;
                }
            }
            return ERROR;
        }
    }

    /** Returns a result. */
    public static PieceResult of(String handle) {
        return new PieceResult(handle, null);
    }

    /** Returns a failure. */
    public static PieceResult failed(Failure failure) {
        return new PieceResult(null, failure);
    }

    /** Returns whether there is a result. */
    public boolean success() {
        return handle != null;
    }
}
