package org.wingstall.core.answer;

import java.util.function.DoubleSupplier;

/**
 * Spreads the hints that tell refused callers when to come back, so that they don't come back as one wave.
 *
 * <p>{@code new RetryAfter(random::nextDouble).spreadMs(400)} is between 400 and 800.
 *
 * @since 0.1
 */
public final class RetryAfter {
    private static final long MIN_MS = 50;
    private static final long MAX_MS = 30_000;

    private final DoubleSupplier random;

    /**
     * Creates the spread.
     *
     * @param random source of numbers in [0, 1)
     */
    public RetryAfter(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Returns a hint between the expected wait and twice that.
     *
     * @param expectedWaitMs time until there is likely room, in ms
     * @return the hint, in ms
     */
    public long jitteredMs(long expectedWaitMs) {
        long base = Math.max(MIN_MS, Math.min(MAX_MS, expectedWaitMs));
        return base + (long) (base * random.getAsDouble());
    }
}
