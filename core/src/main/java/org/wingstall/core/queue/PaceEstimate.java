package org.wingstall.core.queue;

import org.wingstall.core.time.MonotonicClock;

/**
 * Measures how fast the waiters of each precedence are served, and estimates the wait of a new one from that.
 *
 * <p>A precedence that higher ones starve shows as a growing gap since its last grant, which no count of slots would tell; the
 * open gap counts as a sample of its own.
 * Not safe for several threads.
 *
 * <p>{@code pace.waiting(3); pace.granted(3); double waitMs = pace.waitMs(3, ahead);}
 *
 * @since 0.1
 */
public final class GrantPace {
    private static final int LEVELS = 10;
    private static final double WEIGHT = 0.1;

    private final MonotonicClock clock;
    private final double[] gapMs = new double[LEVELS];
    private final long[] lastMs = new long[LEVELS];
    private final int[] waiting = new int[LEVELS];

    /**
     * Creates a pace without measurements.
     *
     * @param clock monotonic clock
     */
    public GrantPace(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Takes note of a new waiter. */
    public void waiting(int precedence) {
        if (waiting[precedence]++ == 0) {
            lastMs[precedence] = clock.nowMs();
        }
    }

    /** Takes note that a waiter gave up. */
    public void gaveUp(int precedence) {
        waiting[precedence]--;
    }

    /** Takes note that a waiter was served. */
    public void granted(int precedence) {
        long nowMs = clock.nowMs();
        double gap = nowMs - lastMs[precedence];
        double before = gapMs[precedence];
        gapMs[precedence] = before == 0 ? gap : before + WEIGHT * (gap - before);
        lastMs[precedence] = nowMs;
        waiting[precedence]--;
    }

    /**
     * Estimates the wait of a new waiter behind those of its own precedence.
     *
     * @param precedence its precedence
     * @return the wait in ms, or a negative number when nothing has been measured or nobody of its precedence waits
     */
    public double waitMs(int precedence) {
        if (waiting[precedence] == 0 || gapMs[precedence] == 0) {
            return -1;
        }
        double overdueMs = Math.max(0, clock.nowMs() - lastMs[precedence] - gapMs[precedence]);
        return (waiting[precedence] + 1) * (gapMs[precedence] + WEIGHT * overdueMs);
    }
}
