package org.wingstall.core.admit;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * A histogram of a stage's times that forgets: when it is full, every count is halved.
 *
 * <p>{@code times.record(120); long medianMs = times.quantileMs(0.5);}
 *
 * @since 0.1
 */
public final class StageTimes {
    private static final int BUCKETS = 72;
    private static final double BUCKET_GROWTH = 1.2;
    private static final long HALVE_AT_SAMPLES = 1024;
    private static final int MIN_SAMPLES = 8;

    private final AtomicLongArray counts = new AtomicLongArray(BUCKETS);
    private final AtomicLong total = new AtomicLong();
    private final long expectedMs;

    /**
     * Creates a histogram without samples.
     *
     * @param expectedMs answer to every question until enough samples are there, in ms
     */
    public StageTimes(long expectedMs) {
        this.expectedMs = expectedMs;
    }

    /**
     * Adds a sample.
     *
     * @param ms time of a stage, in ms
     */
    public void record(double ms) {
        counts.incrementAndGet(bucketOf(ms));
        if (total.incrementAndGet() >= HALVE_AT_SAMPLES) {
            halve();
        }
    }

    /**
     * Returns a quantile of the recent samples.
     *
     * @param quantile quantile in (0, 1)
     * @return upper bound of the bucket that holds it, in ms
     */
    public double quantileMs(double quantile) {
        long samples = sampleCount();
        if (samples < MIN_SAMPLES) {
            return expectedMs;
        }
        double wanted = samples * quantile;
        long seen = 0;
        for (int i = 0; i < BUCKETS; i++) {
            seen += counts.get(i);
            if (seen >= wanted) {
                return Math.pow(BUCKET_GROWTH, i);
            }
        }
        return Math.pow(BUCKET_GROWTH, BUCKETS);
    }

    /** Returns whether there are enough samples to go by. */
    public boolean hasEnoughSamples() {
        return sampleCount() >= MIN_SAMPLES;
    }

    private long sampleCount() {
        long sum = 0;
        for (int i = 0; i < BUCKETS; i++) {
            sum += counts.get(i);
        }
        return sum;
    }

    private void halve() {
        long left = 0;
        for (int i = 0; i < BUCKETS; i++) {
            left += counts.updateAndGet(i, count -> count / 2);
        }
        total.set(left);
    }

    private static int bucketOf(double ms) {
        if (ms <= 1) {
            return 0;
        }
        int bucket = (int) Math.ceil(Math.log(ms) / Math.log(BUCKET_GROWTH));
        return Math.min(BUCKETS - 1, bucket);
    }
}
