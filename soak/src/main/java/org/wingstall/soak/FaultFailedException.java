package org.wingstall.soak;

/**
 * A fault could not be brought about, so that the seed says nothing.
 *
 * @since 0.3
 */
public final class FaultFailedException extends Exception {
    private static final long serialVersionUID = 1;

    FaultFailedException(Throwable cause) {
        super("a fault could not be brought about: " + cause, cause);
    }
}
