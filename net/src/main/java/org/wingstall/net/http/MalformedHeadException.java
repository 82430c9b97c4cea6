package org.wingstall.net.http;

/** Thrown when bytes that stand in the place of an answer's head are none. */
final class MalformedHeadException extends Exception {
    private static final int MOST_SHOWN = 60;

    /**
     * Creates a failure.
     *
     * @param part what the bytes should be
     * @param bytes the bytes, as ISO 8859-1
     */
    MalformedHeadException(String part, String bytes) {
        super("a malformed " + part + ": '" + shown(bytes) + "'", null, false, false);
    }

    /** Returns the first bytes, with control bytes replaced. */
    private static String shown(String bytes) {
        return bytes.substring(0, Math.min(MOST_SHOWN, bytes.length())).replaceAll("[^ -~]", "?");
    }
}
