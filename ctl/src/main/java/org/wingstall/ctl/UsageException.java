package org.wingstall.ctl;

/** Thrown when an argument is not valid; the message names it and what is valid. */
final class UsageException extends Exception {
    UsageException(String message) {
        super(message);
    }
}
