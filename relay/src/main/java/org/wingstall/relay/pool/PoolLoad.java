package org.wingstall.relay.pool;

import org.wingstall.core.time.MonotonicClock;

/** Measures the work that arrives at a pool, relative to what the pool can do. Confined to the request loop. */
final class PoolLoad {
    /** Time constant of the moving average of arrivals, in ms: several calls long, and shorter than a burst. */
    private static final double TIME_CONSTANT_MS = 1500;

    /** Time constant of the usual load, in ms: longer than most bursts, and shorter than changes over a day. */
    private static final double USUAL_TIME_CONSTANT_MS = 20_000;

    private final MonotonicClock clock;
    private final long startedMs;
    private double workMsPerMs;
    private double usualWorkMsPerMs;
    private long asOfMs;

    PoolLoad(MonotonicClock clock) {
        this.clock = clock;
        this.asOfMs = clock.nowMs();
        this.startedMs = asOfMs;
    }

    /** Records work that arrived, in ms of slot time. */
    void recordArrival(double workMs) {
        decay();
        workMsPerMs += workMs / TIME_CONSTANT_MS;
        usualWorkMsPerMs += workMs / USUAL_TIME_CONSTANT_MS;
    }

    /** Returns the ratio of arriving work to what the given number of slots can do; 1 when both are equal. */
    double relativeTo(double slots) {
        decay();
        return slots == 0 ? Double.MAX_VALUE : workMsPerMs / slots;
    }

    /**
     * Returns the usual ratio of arriving work to what the given number of slots can do. The mean starts at zero, so it
     * is divided by the weight of the time since the start.
     */
    double usualRelativeTo(double slots) {
        decay();
        double weight = 1 - Math.exp((startedMs - asOfMs) / USUAL_TIME_CONSTANT_MS);
        return slots == 0 || weight == 0 ? relativeTo(slots) : usualWorkMsPerMs / weight / slots;
    }

    private void decay() {
        long nowMs = clock.nowMs();
        usualWorkMsPerMs *= Math.exp((asOfMs - nowMs) / USUAL_TIME_CONSTANT_MS);
        workMsPerMs *= Math.exp((asOfMs - nowMs) / TIME_CONSTANT_MS);
        asOfMs = nowMs;
    }
}
