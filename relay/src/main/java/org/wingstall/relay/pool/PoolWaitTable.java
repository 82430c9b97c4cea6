package org.wingstall.relay.pool;

import java.util.HashMap;
import java.util.Map;
import org.wingstall.core.time.MonotonicClock;

/**
 * Keeps the waits that coordinators reported with their results, for each service and rank. Confined to the request
 * loop.
 */
final class PoolWaitTable {
    /**
     * Time for which a reported wait applies, in ms: about two calls. Coordinators report with each result, so an older
     * value means that the service runs nothing for this box any more.
     */
    static final long MAX_AGE_MS = 1000;

    private final MonotonicClock clock;
    private final Map<Key, Report> reports = new HashMap<>();

    private record Key(String service, int rank) {}

    private record Report(long waitMs, long atMs) {}

    PoolWaitTable(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records a wait that the coordinator of a service reported. */
    void record(String service, int rank, long waitMs) {
        Key key = new Key(service, rank);
        if (waitMs > 0) {
            reports.put(key, new Report(waitMs, clock.nowMs()));
        } else if (!reports.isEmpty()) {
            reports.remove(key);
        }
    }

    /** Returns the wait of a group that arrives now, in ms; 0 without a report of the last second. */
    long waitMs(String service, int rank) {
        Report report = reports.isEmpty() ? null : reports.get(new Key(service, rank));
        return report == null || clock.nowMs() - report.atMs() >= MAX_AGE_MS ? 0 : report.waitMs();
    }
}
