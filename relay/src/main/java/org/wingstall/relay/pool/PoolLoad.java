package org.wingstall.relay.pool;

import org.wingstall.core.time.MonotonicClock;

/** How much work arrives at a pool, against what it can do. Confined to the request loop. */
final class PoolLoad {
    /** Time over which arrivals are averaged, in ms: several calls long, and shorter than a burst. */
    private static final double TIME_CONSTANT_MS = 1500;

    private final MonotonicClock clock;
    private double workMsPerMs;
    private long asOfMs;

    PoolLoad(MonotonicClock clock) {
        this.clock = clock;
        this.asOfMs = clock.nowMs();
    }

    /** Records work that came, in ms of one slot. */
    void recordArrival(double workMs) {
        decay();
        workMsPerMs += workMs / TIME_CONSTANT_MS;
    }

    /** Returns the work that arrives for each unit that so many slots can do. */
    double relativeTo(int slots) {
        decay();
        return slots == 0 ? Double.MAX_VALUE : workMsPerMs / slots;
    }

    private void decay() {
        long nowMs = clock.nowMs();
        workMsPerMs *= Math.exp((asOfMs - nowMs) / TIME_CONSTANT_MS);
        asOfMs = nowMs;
    }
}
