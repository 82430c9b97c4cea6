package org.wingstall.core.limit;

import org.wingstall.core.time.MonotonicClock;

/**
 * Measures arrivals per second as an exponentially decaying average over the last few seconds.
 *
 * <p>{@code rate.recordArrival(); double perSecond = rate.perSecond();}
 *
 * @since 0.1
 */
public final class ArrivalRate {
    private static final double TIME_CONSTANT_MS = 2000;

    private final MonotonicClock clock;
    private double perSecond;
    private long updatedAtMs;

    /**
     * Creates a rate that starts at zero.
     *
     * @param clock clock for the decay
     */
    public ArrivalRate(MonotonicClock clock) {
        this.clock = clock;
        this.updatedAtMs = clock.nowMs();
    }

    /** Records an arrival. */
    public synchronized void recordArrival() {
        decay();
        perSecond += 1000 / TIME_CONSTANT_MS;
    }

    /** Returns the average arrivals per second. */
    public synchronized double perSecond() {
        decay();
        return perSecond;
    }

    private void decay() {
        long nowMs = clock.nowMs();
        perSecond *= Math.exp((updatedAtMs - nowMs) / TIME_CONSTANT_MS);
        updatedAtMs = nowMs;
    }
}
