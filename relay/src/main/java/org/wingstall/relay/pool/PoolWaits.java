package org.wingstall.relay.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.wingstall.core.time.MonotonicClock;

/** The waits that a pool reports for each rank, forecast anew at most every few ms. Confined to the request loop. */
final class PoolWaits {
    /** Time for which a forecast is reused, in ms; a call's results are reported together, and calls take far longer. */
    private static final long REUSE_MS = 50;

    private final MonotonicClock clock;
    private final Map<Integer, Forecast> forecasts = new HashMap<>();

    private record Forecast(long waitMs, long atMs) {}

    PoolWaits(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns the wait of a group of the rank, in ms; forecast if the last forecast is too old. */
    long waitMs(int rank, LongSupplier forecastMs) {
        long nowMs = clock.nowMs();
        Forecast last = forecasts.get(rank);
        if (last == null || nowMs - last.atMs() >= REUSE_MS) {
            last = new Forecast(forecastMs.getAsLong(), nowMs);
            forecasts.put(rank, last);
        }
        return last.waitMs();
    }

    /**
     * Returns the wait of a group that arrives now behind the waiting groups of its rank and of more urgent ones, in ms.
     * Returns 0 while it is at most one full call: a busy pool that keeps up has such waits all the time.
     */
    static long forecastMs(List<PieceGroup> waiting, int rank, PoolForecast forecast, long nowMs) {
        int ahead = 0;
        for (PieceGroup group : waiting) {
            if (group.urgency().rank() <= rank && !group.isLateAt(nowMs)) {
                ahead += group.size();
            }
        }
        if (ahead == 0 || forecast.slotsFreeAtMs().isEmpty()) {
            return 0;
        }
        // The new group's one piece fills the last call; its start is the end of the forecast less that call.
        int lastCall = ahead % forecast.batch() + 1;
        long endMs = forecast.endsAtMs(List.of(ahead, 1)).get(1);
        long waitMs = endMs - nowMs - Math.round(forecast.callMs().applyAsDouble(lastCall));
        return waitMs <= forecast.callMs().applyAsDouble(forecast.batch()) ? 0 : waitMs;
    }
}
