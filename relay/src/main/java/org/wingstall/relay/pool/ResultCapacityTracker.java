package org.wingstall.relay.pool;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.config.PoolSpec;

/**
 * Counts the room that results take at the endpoints for which this box gathers pieces: from the call on, until they are
 * given up or their maker drops them. Confined to the request loop.
 */
final class ResultCapacityTracker {
    /**
     * Time for which an endpoint that had no room counts as full, in ms: what it holds that this box did not count, such as
     * results that another box gathered before, is given up about a call later.
     */
    private static final long FULL_MS = 300;

    private final MonotonicClock clock;
    private final Map<String, FullMark> full = new HashMap<>();
    private final Map<String, UncountedResults> uncounted = new HashMap<>();
    private final Map<String, Double> usedBytes = new HashMap<>();
    private final Map<String, StoredResult> storedByHandle = new LinkedHashMap<>();

    private record StoredResult(String endpointId, double bytes, long untilMs) {}

    /** An endpoint that had no room for a result of some size. */
    private record FullMark(double bytes, long untilMs) {}

    /** Results that stand at an endpoint and were not made through this box in this life; they lapse by a time. */
    private record UncountedResults(double bytes, long untilMs) {}

    ResultCapacityTracker(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns the bytes that are free at an endpoint, as far as this box knows. */
    double freeBytes(String endpointId, double roomBytes) {
        long nowMs = clock.nowMs();
        double freeBytes = roomBytes - usedBytes(endpointId) - uncountedBytes(endpointId, nowMs);
        FullMark mark = full.get(endpointId);
        boolean marked = mark != null && mark.untilMs() > nowMs;
        return marked ? Math.min(freeBytes, mark.bytes() - 1) : freeBytes;
    }

    /** Records that an endpoint had no room for a result, whatever this box has counted; smaller ones may still fit. */
    void markFull(String endpointId, double bytes) {
        full.put(endpointId, new FullMark(bytes, clock.nowMs() + FULL_MS));
    }

    /**
     * Records the room that an endpoint says is free, before this box sent it anything: what is missing was not counted,
     * and lapses within a result's life.
     *
     * @return bytes of results that were not counted
     */
    double recordInitialFreeBytes(String endpointId, PoolSpec spec, double freeBytes) {
        double bytes = Math.max(0, spec.resultCapacityBytes() - freeBytes);
        uncounted.put(endpointId, new UncountedResults(bytes, clock.nowMs() + spec.resultTtlMs()));
        return bytes;
    }

    /**
     * Records the room that an endpoint says is free later on. Such reports lag, so results that this box has just given
     * up may stand in them still: they only ever lessen what counts as uncounted.
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

    /** Returns when results of a size surely have room that is taken by uncounted ones now, in ms of the clock. */
    long capacityAtMs(String endpointId, double roomBytes, double neededBytes) {
        long nowMs = clock.nowMs();
        boolean blocked = roomBytes - uncountedBytes(endpointId, nowMs) < neededBytes;
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

    /** Takes room for the result of a piece that goes to work. */
    void reserve(String endpointId, double bytes) {
        usedBytes.merge(endpointId, bytes, Double::sum);
    }

    /** Gives room back that was taken for a piece without a result. */
    void release(String endpointId, double bytes) {
        usedBytes.merge(endpointId, -bytes, Double::sum);
    }

    /** Turns room that was taken for a piece into that of its result. */
    void stored(String endpointId, double bytes, String handle, long lifeMs) {
        storedByHandle.put(handle, new StoredResult(endpointId, bytes, clock.nowMs() + lifeMs));
    }

    /** Gives a result's room back. */
    void freed(String handle) {
        StoredResult result = storedByHandle.remove(handle);
        if (result != null) {
            release(result.endpointId(), result.bytes());
        }
    }

    /** Results are kept in the order in which they were made, so the oldest come first. */
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
