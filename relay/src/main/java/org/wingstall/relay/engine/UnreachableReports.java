package org.wingstall.relay.engine;

import java.util.HashMap;
import java.util.Map;
import org.wingstall.core.time.MonotonicClock;

/**
 * Collects reports of unreachable engines from boxes. An engine counts as unreachable once two boxes report it, since
 * one box may have broken links of its own. Confined to the request loop.
 */
final class UnreachableReports {
    /**
     * Time within which the second report has to arrive, in ms; in a large fleet an engine is called a few times per
     * second.
     */
    private static final long CONFIRM_WITHIN_MS = 1500;

    private final MonotonicClock clock;
    private final Map<String, Report> lastReports = new HashMap<>();

    private record Report(String boxId, long atMs) {}

    UnreachableReports(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records a report; returns whether another box reported the same recently. */
    boolean confirms(String endpointId, String boxId) {
        long nowMs = clock.nowMs();
        Report before = lastReports.put(endpointId, new Report(boxId, nowMs));
        return before != null && !before.boxId().equals(boxId) && nowMs - before.atMs() <= CONFIRM_WITHIN_MS;
    }

    /** Records that an engine responded. */
    void answered(String endpointId) {
        lastReports.remove(endpointId);
    }
}
