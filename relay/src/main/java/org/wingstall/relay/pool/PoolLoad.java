package org.wingstall.relay.pool;

import org.wingstall.core.time.MonotonicClock;

/** Measures the work that arrives at a pool, relative to what the pool can do. Confined to the request loop. */
final class PoolLoad {
    /** Time constant of the moving average of arrivals, in ms: several calls long, and shorter than a burst. */
    private static final double TIME_CONSTANT_MS = 1500;

    private final MonotonicClock clock;
    private double workMsPerMs;
    private long asOfMs;

    PoolLoad(MonotonicClock clock) {
        this.clock = clock;
        this.asOfMs = clock.nowMs();
    }

    /** Records work that arrived, in ms of slot time. */
    void recordArrival(double workMs) {
        decay();
        workMsPerMs += workMs / TIME_CONSTANT_MS;
    }

    /** Returns the ratio of arriving work to what the given number of slots can do; 1 when both are equal. */
    double relativeTo(double slots) {
        decay();
        return slots == 0 ? Double.MAX_VALUE : workMsPerMs / slots;
    }

    private void decay() {
        long nowMs = clock.nowMs();
        workMsPerMs *= Math.exp((asOfMs - nowMs) / TIME_CONSTANT_MS);
        asOfMs = nowMs;
    }
}
