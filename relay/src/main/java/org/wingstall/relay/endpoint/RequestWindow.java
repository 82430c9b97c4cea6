package org.wingstall.relay.endpoint;

/**
 * Limits the requests of this box that are in flight at one brittle endpoint: the limit grows by one for as many
 * answers as it allows requests while nothing is rejected, and falls to the requests in flight with a rejection.
 * Thread-safe.
 *
 * <p>{@code if (window.allows(inFlight)) { send(); } ... window.answered(inFlight, nowMs);}
 */
final class RequestWindow {
    private static final double UNLIMITED = Double.MAX_VALUE;

    /** Time without a rejection after which the limit grows, in ms. */
    private static final long GROWS_AFTER_MS = 1000;

    private double size = UNLIMITED;
    private long lastRejectionMs = Long.MIN_VALUE / 2;

    /** Begins to limit, from the requests that are in flight, unless there is a limit. */
    synchronized void limit(int inFlight) {
        if (size == UNLIMITED) {
            size = Math.max(1, inFlight);
        }
    }

    /** Ends the limit. */
    synchronized void end() {
        size = UNLIMITED;
    }

    /** Records an answer to one of the requests in flight; a limit that is not used does not grow. */
    synchronized void answered(int inFlight, long nowMs) {
        boolean used = size != UNLIMITED && inFlight >= Math.floor(size);
        if (used && nowMs - lastRejectionMs >= GROWS_AFTER_MS) {
            size += 1 / size;
        }
    }

    /** Records a rejection of a request here or at another box; those in flight have places. */
    synchronized void rejected(int inFlight, long nowMs) {
        lastRejectionMs = nowMs;
        size = Math.max(1, Math.min(size, inFlight));
    }

    /** Returns whether one more request may be sent. */
    synchronized boolean allows(int inFlight) {
        return inFlight < Math.floor(size);
    }
}
