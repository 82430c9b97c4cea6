package org.wingstall.relay.engine;

import java.util.HashMap;
import java.util.Map;
import org.wingstall.core.time.MonotonicClock;

/**
 * Tells an engine that is silent from a box whose own links are broken: it takes two boxes to say so. Confined to the request
 * loop.
 */
final class UnreachableReports {
    /** Time within which the second box has to say so, in ms; boxes of a large fleet reach an engine a few times a second. */
    private static final long TOGETHER_MS = 1500;

    private final MonotonicClock clock;
    private final Map<String, Report> last = new HashMap<>();

    private record Report(String boxId, long atMs) {}

    UnreachableReports(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records a report; returns whether another box said the same lately. */
    boolean confirms(String endpointId, String boxId) {
        long nowMs = clock.nowMs();
        Report before = last.put(endpointId, new Report(boxId, nowMs));
        return before != null && !before.boxId().equals(boxId) && nowMs - before.atMs() <= TOGETHER_MS;
    }

    /** Records that an engine answered. */
    void answered(String endpointId) {
        last.remove(endpointId);
    }
}
