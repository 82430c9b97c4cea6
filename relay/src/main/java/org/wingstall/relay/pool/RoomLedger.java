package org.wingstall.relay.pool;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wingstall.core.time.MonotonicClock;

/**
 * Counts the room that results take at the endpoints for which this box gathers pieces: from the call on, until they are
 * given up or their maker drops them. Confined to the request loop.
 */
final class RoomLedger {
    /**
     * Time for which an endpoint that had no room counts as full, in ms: what it holds that this box did not count, such as
     * results that another box gathered before, is given up about a call later.
     */
    private static final long FULL_MS = 300;

    private final MonotonicClock clock;
    private final Map<String, Long> fullUntilMs = new HashMap<>();
    private final Map<String, Double> usedBytes = new HashMap<>();
    private final Map<String, Held> held = new LinkedHashMap<>();

    private record Held(String endpointId, double bytes, long untilMs) {}

    RoomLedger(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns the bytes that are free at an endpoint, as far as this box knows. */
    double freeBytes(String endpointId, double roomBytes) {
        boolean full = fullUntilMs.getOrDefault(endpointId, Long.MIN_VALUE) > clock.nowMs();
        return full ? 0 : roomBytes - usedBytes(endpointId);
    }

    /** Takes note that an endpoint had no room for a piece, whatever this box has counted. */
    void noRoom(String endpointId) {
        fullUntilMs.put(endpointId, clock.nowMs() + FULL_MS);
    }

    private double usedBytes(String endpointId) {
        dropOld();
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
    void made(String endpointId, double bytes, String handle, long lifeMs) {
        held.put(handle, new Held(endpointId, bytes, clock.nowMs() + lifeMs));
    }

    /** Gives a result's room back. */
    void freed(String handle) {
        Held result = held.remove(handle);
        if (result != null) {
            release(result.endpointId(), result.bytes());
        }
    }

    /** Results are kept in the order in which they were made, so the oldest come first. */
    private void dropOld() {
        long nowMs = clock.nowMs();
        Iterator<Held> oldest = held.values().iterator();
        while (oldest.hasNext()) {
            Held result = oldest.next();
            if (result.untilMs() > nowMs) {
                return;
            }
            oldest.remove();
            release(result.endpointId(), result.bytes());
        }
    }
}
