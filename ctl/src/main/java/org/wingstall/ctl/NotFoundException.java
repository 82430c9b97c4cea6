package org.wingstall.ctl;

/** Thrown when what a command asks for does not exist. */
final class NotFoundException extends Exception {
    NotFoundException(String message) {
        super(message);
    }
}
