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
    private final MonotonicClock clock;
    private final Map<String, Double> usedBytes = new HashMap<>();
    private final Map<String, Held> held = new LinkedHashMap<>();

    private record Held(String endpointId, double bytes, long untilMs) {}

    RoomLedger(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns the bytes taken at an endpoint, as far as this box knows. */
    double usedBytes(String endpointId) {
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
