package org.wingstall.relay.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** Tracks when requests were recently sent to one endpoint. Confined to the request loop. */
final class RecentSends {
    /** Longest window in which requests are counted, in ms. */
    static final long MAX_WINDOW_MS = 4000;

    /** Maximum number of requests tracked; more than any limit lets through. */
    private static final int MAX_TRACKED = 4096;

    private final Deque<Long> sentAtMs = new ArrayDeque<>();

    void recordSend(long nowMs) {
        sentAtMs.addLast(nowMs);
        while (nowMs - sentAtMs.peekFirst() > MAX_WINDOW_MS || sentAtMs.size() > MAX_TRACKED) {
            sentAtMs.removeFirst();
        }
    }

    /** Returns whether the last request was sent so long ago that none is counted any more. */
    boolean expired(long nowMs) {
        return sentAtMs.isEmpty() || nowMs - sentAtMs.peekLast() > MAX_WINDOW_MS;
    }

    /**
     * Returns the time until one more request may be sent, in ms, when at most {@code perWindow} are allowed in any
     * window; 0 for now.
     */
    long waitMs(int perWindow, long windowMs, long nowMs) {
        if (perWindow < 1) {
            return windowMs;
        }
        if (sentAtMs.size() < perWindow) {
            return 0;
        }
        Iterator<Long> newestFirst = sentAtMs.descendingIterator();
        long oldestCountedMs = newestFirst.next();
        for (int position = 1; position < perWindow; position++) {
            oldestCountedMs = newestFirst.next();
        }
        return Math.max(0, oldestCountedMs + windowMs + 1 - nowMs);
    }
}
