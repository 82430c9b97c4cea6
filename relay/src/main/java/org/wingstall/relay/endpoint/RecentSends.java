package org.wingstall.relay.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;

/** When requests were sent to one endpoint within the last second. Confined to the request loop. */
final class RecentSends {
    /** Length of the window in which a cold endpoint's requests count, in ms. */
    static final long WINDOW_MS = 1000;

    private final Deque<Long> sentAtMs = new ArrayDeque<>();

    void sent(long nowMs) {
        sentAtMs.addLast(nowMs);
    }

    /** Returns the time until one more may be sent, in ms; 0 for now. */
    long waitMs(int perWindow, long nowMs) {
        while (!sentAtMs.isEmpty() && nowMs - sentAtMs.peekFirst() > WINDOW_MS) {
            sentAtMs.removeFirst();
        }
        if (perWindow < 1) {
            return WINDOW_MS;
        }
        int tooMany = sentAtMs.size() - perWindow;
        return tooMany < 0 ? 0 : WINDOW_MS + 1 - (nowMs - nth(tooMany));
    }

    private long nth(int place) {
        return sentAtMs.stream().skip(place).findFirst().orElseThrow();
    }
}
