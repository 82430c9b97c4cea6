package org.wingstall.core.time;

/**
 * Randomizes intervals of periodic work, so that boxes that started together do not run it at the same time.
 *
 * <p>{@code long delayMs = Jitter.around(2000, random.nextDouble());} is between 1,800 and 2,200.
 *
 * @since 0.1
 */
public final class Jitter {
    private static final double RATIO = 0.1;

    private Jitter() {}

    /**
     * Returns a randomized interval.
     *
     * @param intervalMs the interval, in ms
     * @param random random number in [0, 1)
     * @return between 90% and 110% of the interval, in ms
     */
    public static long around(long intervalMs, double random) {
        return (long) (intervalMs * (1 + RATIO * (random * 2 - 1)));
    }
}
