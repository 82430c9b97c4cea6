package org.wingstall.ctl;

/** Thrown when a gateway gives no answer. */
final class UnreachableException extends Exception {
    UnreachableException(String message) {
        super(message);
    }
}
