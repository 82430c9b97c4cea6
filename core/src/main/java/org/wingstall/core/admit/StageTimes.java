package org.wingstall.core.admit;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Collects recent durations of a stage in a histogram; every count is halved when the total reaches a limit, so that
 * old samples lose weight.
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

    /** Weight of the expected duration in estimates, in samples: more calls than one gateway has running at a time. */
    private static final int EXPECTED_WEIGHT = 64;

    private final AtomicLongArray counts = new AtomicLongArray(BUCKETS);
    private final AtomicLong total = new AtomicLong();
    private final long expectedMs;

    /**
     * Creates a histogram without samples.
     *
     * @param expectedMs value returned for every quantile until there are enough samples, in ms
     */
    public StageTimes(long expectedMs) {
        this.expectedMs = expectedMs;
    }

    /**
     * Records a duration.
     *
     * @param durationMs duration of a stage, in ms
     */
    public void record(double durationMs) {
        counts.incrementAndGet(bucketOf(durationMs));
        if (total.incrementAndGet() >= HALVE_AT_SAMPLES) {
            halve();
        }
    }

    /**
     * Returns a quantile of the recent samples.
     *
     * @param quantile quantile in (0, 1)
     * @return upper bound of the bucket that contains it, in ms
     */
    public double quantileMs(double quantile) {
        long samples = sampleCount();
        if (samples < MIN_SAMPLES) {
            return expectedMs;
        }
        return quantileMs(samples * quantile, BUCKETS, 0);
    }

    /**
     * Returns a quantile of the recent samples and of a number of samples of the expected duration, for deciding whether a
     * request can meet its deadline: calls that ran at the same time are slow together when a start or a standstill
     * delays them, and must not refuse those that come after it.
     *
     * @param quantile quantile in (0, 1)
     * @return the quantile, in ms
     */
    public double estimateMs(double quantile) {
        long samples = sampleCount();
        if (samples < MIN_SAMPLES) {
            return expectedMs;
        }
        return quantileMs((samples + EXPECTED_WEIGHT) * quantile, bucketOf(expectedMs), EXPECTED_WEIGHT);
    }

    /** Returns the upper bound of the bucket that holds a rank, with further samples in one of the buckets. */
    private double quantileMs(double rank, int furtherBucket, int further) {
        long cumulative = 0;
        for (int i = 0; i < BUCKETS; i++) {
            cumulative += counts.get(i) + (i == furtherBucket ? further : 0);
            if (cumulative >= rank) {
                return Math.pow(BUCKET_GROWTH, i);
            }
        }
        return Math.pow(BUCKET_GROWTH, BUCKETS);
    }

    /** Returns whether there are enough samples for a quantile. */
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
        long remaining = 0;
        for (int i = 0; i < BUCKETS; i++) {
            remaining += counts.updateAndGet(i, count -> count / 2);
        }
        total.set(remaining);
    }

    private static int bucketOf(double durationMs) {
        if (durationMs <= 1) {
            return 0;
        }
        int bucket = (int) Math.ceil(Math.log(durationMs) / Math.log(BUCKET_GROWTH));
        return Math.min(BUCKETS - 1, bucket);
    }
}
