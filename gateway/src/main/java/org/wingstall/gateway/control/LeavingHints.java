package org.wingstall.gateway.control;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.peer.LeavingHint;

/** Leaving endpoints that this gateway learned of lately, for its heartbeats. */
final class LeavingHints {
    private static final long TOLD_FOR_MS = 10_000;
    private static final int MOST_TOLD = 32;

    private final MonotonicClock clock;
    private final ConcurrentLinkedDeque<Entry> entries = new ConcurrentLinkedDeque<>();

    private record Entry(LeavingHint hint, long atMs) {}

    LeavingHints(MonotonicClock clock) {
        this.clock = clock;
    }

    void add(String memberId, long incarnation) {
        entries.addFirst(new Entry(new LeavingHint(memberId, incarnation), clock.nowMs()));
    }

    List<LeavingHint> current() {
        long sinceMs = clock.nowMs() - TOLD_FOR_MS;
        entries.removeIf(entry -> entry.atMs() < sinceMs);
        return entries.stream().limit(MOST_TOLD).map(Entry::hint).toList();
    }
}
