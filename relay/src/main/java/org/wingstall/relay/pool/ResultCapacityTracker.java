package org.wingstall.relay.pool;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.config.PoolSpec;

/**
 * Tracks the free result capacity of the endpoints that this box calls: a result counts from the start of its call
 * until it is freed or expires at its endpoint. Confined to the request loop.
 */
final class ResultCapacityTracker {
    /**
     * Time for which an endpoint that rejected a result for lack of capacity counts as full, in ms: results that this
     * box has not counted, such as those of an earlier coordinator, are freed about the time of one call later.
     */
    private static final long FULL_MS = 300;

    private final MonotonicClock clock;
    private final Map<String, FullMark> full = new HashMap<>();
    private final Map<String, UncountedResults> uncounted = new HashMap<>();
    private final Map<String, Double> usedBytes = new HashMap<>();
    private final Map<String, StoredResult> storedByHandle = new LinkedHashMap<>();

    private record StoredResult(String endpointId, double bytes, long untilMs) {}

    /** An endpoint without capacity for a result of the given size. */
    private record FullMark(double bytes, long untilMs) {}

    /**
     * Results stored at an endpoint that this box has not requested since it started; they expire by the given time.
     */
    private record UncountedResults(double bytes, long untilMs) {}

    ResultCapacityTracker(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns the free bytes at an endpoint, as far as this box knows. */
    double freeBytes(String endpointId, double capacityBytes) {
        long nowMs = clock.nowMs();
        double freeBytes = capacityBytes - usedBytes(endpointId) - uncountedBytes(endpointId, nowMs);
        FullMark mark = full.get(endpointId);
        boolean marked = mark != null && mark.untilMs() > nowMs;
        return marked ? Math.min(freeBytes, mark.bytes() - 1) : freeBytes;
    }

    /** Marks an endpoint as full for results of the given size, whatever this box has counted; smaller ones may fit. */
    void markFull(String endpointId, double bytes) {
        full.put(endpointId, new FullMark(bytes, clock.nowMs() + FULL_MS));
    }

    /**
     * Records the free bytes that an endpoint reports before this box has sent it any pieces. All used bytes belong to
     * uncounted results, which expire within the TTL of a result.
     *
     * @return bytes of results that were not counted
     */
    double recordInitialFreeBytes(String endpointId, PoolSpec spec, double freeBytes) {
        double bytes = Math.max(0, spec.resultCapacityBytes() - freeBytes);
        uncounted.put(endpointId, new UncountedResults(bytes, clock.nowMs() + spec.resultTtlMs()));
        return bytes;
    }

    /**
     * Records the free bytes that an endpoint reports later on. Such reports lag and may still include results that
     * this box has just freed, so they can only lower the number of uncounted bytes.
     *
     * @return bytes of results that were not counted
     */
    double recordFreeBytes(String endpointId, PoolSpec spec, double freeBytes) {
        double before = uncountedBytes(endpointId, clock.nowMs());
        double bytes = Math.min(before, Math.max(0, spec.resultCapacityBytes() - freeBytes - usedBytes(endpointId)));
        if (before > 0) {
            uncounted.put(
                    endpointId,
                    new UncountedResults(bytes, uncounted.get(endpointId).untilMs()));
        }
        return bytes;
    }

    /** Returns when results of a size no longer compete with uncounted results for capacity, in ms of the clock. */
    long capacityAtMs(String endpointId, double capacityBytes, double neededBytes) {
        long nowMs = clock.nowMs();
        boolean blocked = capacityBytes - uncountedBytes(endpointId, nowMs) < neededBytes;
        return blocked ? uncounted.get(endpointId).untilMs() : nowMs;
    }

    private double uncountedBytes(String endpointId, long nowMs) {
        UncountedResults known = uncounted.get(endpointId);
        return known == null || known.untilMs() <= nowMs ? 0 : known.bytes();
    }

    private double usedBytes(String endpointId) {
        dropExpired();
        return usedBytes.getOrDefault(endpointId, 0.0);
    }

    /** Reserves capacity for the result of a piece that is sent to an endpoint. */
    void reserve(String endpointId, double bytes) {
        usedBytes.merge(endpointId, bytes, Double::sum);
    }

    /** Releases the capacity that was reserved for a piece. */
    void release(String endpointId, double bytes) {
        usedBytes.merge(endpointId, -bytes, Double::sum);
    }

    /** Assigns reserved capacity to a stored result, until it is freed or its TTL ends. */
    void stored(String endpointId, double bytes, String handle, long ttlMs) {
        storedByHandle.put(handle, new StoredResult(endpointId, bytes, clock.nowMs() + ttlMs));
    }

    /** Releases the capacity of a result that was freed. */
    void freed(String handle) {
        StoredResult result = storedByHandle.remove(handle);
        if (result != null) {
            release(result.endpointId(), result.bytes());
        }
    }

    /** Removes expired results; the map is in the order of insertion, so the oldest come first. */
    private void dropExpired() {
        long nowMs = clock.nowMs();
        Iterator<StoredResult> oldest = storedByHandle.values().iterator();
        while (oldest.hasNext()) {
            StoredResult result = oldest.next();
            if (result.untilMs() > nowMs) {
                return;
            }
            oldest.remove();
            release(result.endpointId(), result.bytes());
        }
    }
}
