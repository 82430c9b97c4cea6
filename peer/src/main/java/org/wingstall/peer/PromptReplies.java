package org.wingstall.peer;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.wingstall.core.time.MonotonicClock;

/**
 * Which peers owe a reply that they give at once. The load that it answers is a box that is cut off or stands still while it
 * works for all others: its heartbeats are missed after 1.3 s only, and until then every request waits for it in vain.
 *
 * <p>Any frame of a peer settles what it owes, so a box that is merely late with one reply is not taken for silent while it
 * speaks. Safe for use on any thread.
 *
 * <p>{@code replies.expect("kgn-a-1"); ... replies.heard("kgn-a-1"); if (replies.overdue("kgn-a-1")) { askAnother(); }}
 */
final class PromptReplies {
    /**
     * Longest time that a reply takes, in ms: a way there and back between failure domains takes a few ms, a packet that is
     * sent again 200 ms, and a busy box reads its links every few ms.
     */
    static final long REPLY_MS = 300;

    private final MonotonicClock clock;
    private final Map<String, Long> owedSinceMs = new ConcurrentHashMap<>();

    /** Peers that have confirmed something: boxes of an older version never do, and nothing is expected of them. */
    private final Set<String> confirming = ConcurrentHashMap.newKeySet();

    PromptReplies(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records that a peer was asked something that it replies to at once. */
    void expect(String boxId) {
        if (confirming.contains(boxId)) {
            owedSinceMs.putIfAbsent(boxId, clock.nowMs());
        }
    }

    /** Records a confirmation. */
    void confirmed(String boxId) {
        confirming.add(boxId);
    }

    /** Records any frame of a peer. */
    void heard(String boxId) {
        owedSinceMs.remove(boxId);
    }

    /** Drops what is known of a peer whose link is gone. */
    void forget(String boxId) {
        owedSinceMs.remove(boxId);
        confirming.remove(boxId);
    }

    /** Returns whether a peer should have replied by now. */
    boolean overdue(String boxId) {
        Long sinceMs = owedSinceMs.get(boxId);
        return sinceMs != null && clock.nowMs() - sinceMs > REPLY_MS;
    }
}
