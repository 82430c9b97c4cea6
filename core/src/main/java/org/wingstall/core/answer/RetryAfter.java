package org.wingstall.core.answer;

import java.util.function.DoubleSupplier;

/**
 * Adds jitter to the retry hints of refused callers, so that they don't all retry at the same time.
 *
 * <p>{@code new RetryAfter(random::nextDouble).jitteredMs(400)} is between 400 and 800.
 *
 * @since 0.1
 */
public final class RetryAfter {
    private static final long MIN_MS = 50;
    private static final long MAX_MS = 30_000;

    private final DoubleSupplier random;

    /**
     * Creates a source of jittered hints.
     *
     * @param random source of random numbers in [0, 1)
     */
    public RetryAfter(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Returns a hint between the expected wait, limited to 50 ms to 30 s, and twice that.
     *
     * @param expectedWaitMs expected time until there is capacity, in ms
     * @return the hint, in ms
     */
    public long jitteredMs(long expectedWaitMs) {
        long base = Math.max(MIN_MS, Math.min(MAX_MS, expectedWaitMs));
        return base + (long) (base * random.getAsDouble());
    }

    /**
     * Returns the hint for a retry time. Scheduled times are spread within a step only, since jitter in proportion to
     * the time would move callers away from the capacity that is reserved for them; others are jittered.
     *
     * @param time the retry time
     * @return the hint, in ms
     */
    public long hintMs(RetryTime time) {
        if (!time.scheduled()) {
            return jitteredMs(time.afterMs());
        }
        return Math.max(MIN_MS, Math.min(MAX_MS, time.afterMs())) + (long) (RetryTime.STEP_MS * random.getAsDouble());
    }
}
