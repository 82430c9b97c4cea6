package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.IntToDoubleFunction;

/**
 * Forecasts when waiting groups finish if no others arrive: calls are filled in the given order, and each is sent to
 * the slot that is free first.
 *
 * <p>{@code List<Long> ends = new PoolForecast(List.of(0L, 120L), 7, pieces -> 200 + 24 * pieces).endsAtMs(List.of(3,
 * 5));}
 *
 * @param slotsFreeAtMs when each slot of the endpoints that can be called is free, in ms of the monotonic clock
 * @param batch maximum pieces in a call
 * @param callMs expected duration of a call with a given number of pieces, in ms
 * @since 0.5
 */
public record PoolForecast(List<Long> slotsFreeAtMs, int batch, IntToDoubleFunction callMs) {
    /** The end of a group that never finishes. */
    public static final long NEVER = Long.MAX_VALUE;

    /**
     * Returns when each group finishes.
     *
     * @param sizes pieces of each group, in the order in which they are served; a group may be split over calls
     * @return the ends, in the same order, in ms of the monotonic clock; {@link #NEVER} without slots
     */
    public List<Long> endsAtMs(List<Integer> sizes) {
        List<Long> ends = new ArrayList<>();
        PriorityQueue<Long> free = new PriorityQueue<>(slotsFreeAtMs);
        int waiting = sizes.stream().mapToInt(Integer::intValue).sum();
        int roomInCall = 0;
        long callEndsAtMs = NEVER;
        for (int size : sizes) {
            int left = size;
            while (left > 0 && !free.isEmpty()) {
                if (roomInCall == 0) {
                    roomInCall = Math.min(batch, waiting);
                    callEndsAtMs = free.poll() + Math.round(callMs.applyAsDouble(roomInCall));
                    free.add(callEndsAtMs);
                }
                int taken = Math.min(left, roomInCall);
                left -= taken;
                waiting -= taken;
                roomInCall -= taken;
            }
            ends.add(callEndsAtMs);
        }
        return ends;
    }
}
