package org.wingstall.relay.endpoint;

/**
 * Restrictions on sending to one incarnation of an endpoint. They hold although its entry disappears from the list and
 * returns. Safe for use on any thread.
 */
final class SendRestrictions {
    private volatile boolean leaving;

    /** Records that the endpoint is leaving, which is permanent for this incarnation. */
    void markLeaving() {
        leaving = true;
    }

    boolean leaving() {
        return leaving;
    }
}
