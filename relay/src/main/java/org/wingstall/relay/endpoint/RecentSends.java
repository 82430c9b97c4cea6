package org.wingstall.relay.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** When requests were sent to one endpoint lately. Confined to the request loop. */
final class RecentSends {
    /** Longest window in which sends are counted, in ms. */
    static final long LONGEST_MS = 4000;

    /** Sends that are remembered at most; more than any bound lets through. */
    private static final int MOST_REMEMBERED = 4096;

    private final Deque<Long> sentAtMs = new ArrayDeque<>();

    void record(long nowMs) {
        sentAtMs.addLast(nowMs);
        while (nowMs - sentAtMs.peekFirst() > LONGEST_MS || sentAtMs.size() > MOST_REMEMBERED) {
            sentAtMs.removeFirst();
        }
    }

    /** Returns whether the last send is so long ago that none counts any more. */
    boolean expired(long nowMs) {
        return sentAtMs.isEmpty() || nowMs - sentAtMs.peekLast() > LONGEST_MS;
    }

    /** Returns the time until one more may be sent when so many may be in any window, in ms; 0 for now. */
    long waitMs(int perWindow, long windowMs, long nowMs) {
        if (perWindow < 1) {
            return windowMs;
        }
        if (sentAtMs.size() < perWindow) {
            return 0;
        }
        Iterator<Long> newestFirst = sentAtMs.descendingIterator();
        long lastThatCountsMs = newestFirst.next();
        for (int place = 1; place < perWindow; place++) {
            lastThatCountsMs = newestFirst.next();
        }
        return Math.max(0, lastThatCountsMs + windowMs + 1 - nowMs);
    }
}
