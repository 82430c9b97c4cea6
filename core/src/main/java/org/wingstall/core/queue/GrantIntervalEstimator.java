package org.wingstall.core.queue;

import org.wingstall.core.time.MonotonicClock;

/**
 * Measures how fast the waiters of each precedence are served, and reckons with that.
 *
 * <p>A precedence that higher ones starve shows as a growing gap since its last grant, which no count of slots would tell; the
 * open gap counts as a sample of its own. Until something has been measured, and while nobody of the precedence waits, it
 * is the slots that count.
 */
final class GrantIntervalEstimator implements WaitEstimator {
    private static final int PRECEDENCE_LEVELS = 10;
    private static final double SMOOTHING_FACTOR = 0.1;

    private final MonotonicClock clock;
    private final double[] meanIntervalMs = new double[PRECEDENCE_LEVELS];
    private final long[] lastGrantMs = new long[PRECEDENCE_LEVELS];
    private final int[] waiters = new int[PRECEDENCE_LEVELS];

    GrantIntervalEstimator(MonotonicClock clock) {
        this.clock = clock;
    }

    @Override
    public void recordWaiting(int precedence) {
        if (waiters[precedence]++ == 0) {
            lastGrantMs[precedence] = clock.nowMs();
        }
    }

    @Override
    public void recordAbandoned(int precedence) {
        waiters[precedence]--;
    }

    @Override
    public void recordGranted(int precedence) {
        long nowMs = clock.nowMs();
        double intervalMs = nowMs - lastGrantMs[precedence];
        double previousMs = meanIntervalMs[precedence];
        meanIntervalMs[precedence] =
                previousMs == 0 ? intervalMs : previousMs + SMOOTHING_FACTOR * (intervalMs - previousMs);
        lastGrantMs[precedence] = nowMs;
        waiters[precedence]--;
    }

    @Override
    public double waitMs(int precedence, double slotBasedMs) {
        if (waiters[precedence] == 0 || meanIntervalMs[precedence] == 0) {
            return slotBasedMs;
        }
        double overdueMs = Math.max(0, clock.nowMs() - lastGrantMs[precedence] - meanIntervalMs[precedence]);
        return (waiters[precedence] + 1) * (meanIntervalMs[precedence] + SMOOTHING_FACTOR * overdueMs);
    }
}
