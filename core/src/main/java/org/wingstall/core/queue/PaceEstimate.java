package org.wingstall.core.queue;

import org.wingstall.core.time.MonotonicClock;

/**
 * Measures how fast the waiters of each precedence are served, and reckons with that.
 *
 * <p>A precedence that higher ones starve shows as a growing gap since its last grant, which no count of slots would tell; the
 * open gap counts as a sample of its own. Until something has been measured, and while nobody of the precedence waits, it
 * is the slots that count.
 */
final class PaceEstimate implements WaitEstimate {
    private static final int LEVELS = 10;
    private static final double WEIGHT = 0.1;

    private final MonotonicClock clock;
    private final double[] gapMs = new double[LEVELS];
    private final long[] lastMs = new long[LEVELS];
    private final int[] waiting = new int[LEVELS];

    PaceEstimate(MonotonicClock clock) {
        this.clock = clock;
    }

    @Override
    public void waiting(int precedence) {
        if (waiting[precedence]++ == 0) {
            lastMs[precedence] = clock.nowMs();
        }
    }

    @Override
    public void gaveUp(int precedence) {
        waiting[precedence]--;
    }

    @Override
    public void granted(int precedence) {
        long nowMs = clock.nowMs();
        double gap = nowMs - lastMs[precedence];
        double before = gapMs[precedence];
        gapMs[precedence] = before == 0 ? gap : before + WEIGHT * (gap - before);
        lastMs[precedence] = nowMs;
        waiting[precedence]--;
    }

    @Override
    public double waitMs(int precedence, double bySlotsMs) {
        if (waiting[precedence] == 0 || gapMs[precedence] == 0) {
            return bySlotsMs;
        }
        double overdueMs = Math.max(0, clock.nowMs() - lastMs[precedence] - gapMs[precedence]);
        return (waiting[precedence] + 1) * (gapMs[precedence] + WEIGHT * overdueMs);
    }
}
