package org.wingstall.net.http;

/** Tells that a body has more bytes than may be held. */
final class BodyTooLongException extends Exception {
    BodyTooLongException(String what, long maxBytes) {
        super(what + " more than " + maxBytes + " bytes", null, false, false);
    }
}
