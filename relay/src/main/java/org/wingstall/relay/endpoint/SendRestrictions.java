package org.wingstall.relay.endpoint;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Restrictions on sending to one incarnation of an endpoint. They hold although its entry disappears from the list and
 * returns. Safe for use on any thread.
 */
final class SendRestrictions {
    /** Longest time for which one response can keep requests away, in ms, so that a wrong value has an end. */
    private static final long MAX_RETRY_AFTER_MS = 600_000;

    private final AtomicLong closedUntilMs = new AtomicLong(Long.MIN_VALUE);
    private volatile boolean leaving;
    private volatile boolean gone;
    private final RequestWindow window = new RequestWindow();

    /** Records that the endpoint is leaving, which is permanent for this incarnation. */
    void markLeaving() {
        leaving = true;
    }

    boolean leaving() {
        return leaving;
    }

    /** Records that the endpoint is listed. */
    void markListed() {
        gone = false;
    }

    /** Records that the endpoint has disappeared from the list. */
    void markGone() {
        gone = true;
    }

    boolean gone() {
        return gone;
    }

    /** Returns the limit on requests of this box that are in flight. */
    RequestWindow window() {
        return window;
    }

    /** Records that the endpoint takes no requests from this box for a time; of several times the latest end counts. */
    void closeFor(long durationMs, long nowMs) {
        long untilMs = nowMs + Math.min(MAX_RETRY_AFTER_MS, durationMs);
        closedUntilMs.accumulateAndGet(untilMs, Math::max);
    }

    /** Returns the time until the endpoint takes requests from this box again, in ms; 0 if it takes them now. */
    long closedForMs(long nowMs) {
        long untilMs = closedUntilMs.get();
        return untilMs > nowMs ? untilMs - nowMs : 0;
    }
}
