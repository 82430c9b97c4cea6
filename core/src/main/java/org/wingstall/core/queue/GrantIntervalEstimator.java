package org.wingstall.core.queue;

import org.wingstall.core.time.MonotonicClock;

/**
 * Estimates waits from the measured mean interval between grants of each precedence.
 *
 * <p>When higher precedences starve a lower one, the time since its last grant grows, which an estimate from the number
 * of slots does not show; so the current, unfinished interval counts as a sample too. The slot-based estimate is used
 * until an interval has been measured, and while no waiter of the precedence is queued.
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
