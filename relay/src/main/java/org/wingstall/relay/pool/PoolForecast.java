package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntToDoubleFunction;

/**
 * Forecasts when waiting groups finish if no others arrive: calls are filled in the given order, and each is sent to
 * the slot where it ends first: the one that is free first, if all slots are equally fast.
 *
 * <p>{@code List<Long> ends = new PoolForecast(List.of(0L, 120L), 7, pieces -> 200 + 24 * pieces).endsAtMs(List.of(3,
 * 5));}
 *
 * @param slotsFreeAtMs when each slot of the endpoints that can be called is free, in ms of the monotonic clock
 * @param batch maximum pieces in a call
 * @param callMs expected duration of a call with a given number of pieces, in ms
 * @param slowdowns ratio of the duration of each slot's calls to the usual one; empty when all are as usual
 * @since 0.5
 */
public record PoolForecast(List<Long> slotsFreeAtMs, int batch, IntToDoubleFunction callMs, List<Double> slowdowns) {
    /** The end of a group that never finishes. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Creates the forecast of slots whose calls take as long as usual. */
    public PoolForecast(List<Long> slotsFreeAtMs, int batch, IntToDoubleFunction callMs) {
        this(slotsFreeAtMs, batch, callMs, List.of());
    }

    /** Returns the number of usual slots that can do the work of the slots. */
    public double usualSlots() {
        return slowdowns.isEmpty()
                ? slotsFreeAtMs.size()
                : slowdowns.stream().mapToDouble(slowdown -> 1 / slowdown).sum();
    }

    /**
     * Returns when each group finishes.
     *
     * @param sizes pieces of each group, in the order in which they are served; a group may be split over calls
     * @return the ends, in the same order, in ms of the monotonic clock; {@link #NEVER} without slots
     */
    public List<Long> endsAtMs(List<Integer> sizes) {
        List<Long> ends = new ArrayList<>();
        long[] freeAtMs = slotsFreeAtMs.stream().mapToLong(Long::longValue).toArray();
        int waiting = sizes.stream().mapToInt(Integer::intValue).sum();
        int roomInCall = 0;
        long callEndsAtMs = NEVER;
        for (int size : sizes) {
            int left = size;
            while (left > 0 && freeAtMs.length > 0) {
                if (roomInCall == 0) {
                    roomInCall = Math.min(batch, waiting);
                    double usualMs = callMs.applyAsDouble(roomInCall);
                    int slot = firstToEnd(freeAtMs, usualMs);
                    callEndsAtMs = freeAtMs[slot] + Math.round(slowdown(slot) * usualMs);
                    freeAtMs[slot] = callEndsAtMs;
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

    private int firstToEnd(long[] freeAtMs, double usualMs) {
        int best = 0;
        double bestEndMs = Double.MAX_VALUE;
        for (int slot = 0; slot < freeAtMs.length; slot++) {
            double endMs = freeAtMs[slot] + slowdown(slot) * usualMs;
            if (endMs < bestEndMs) {
                best = slot;
                bestEndMs = endMs;
            }
        }
        return best;
    }

    private double slowdown(int slot) {
        return slowdowns.isEmpty() ? 1 : slowdowns.get(slot);
    }
}
