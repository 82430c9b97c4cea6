package org.wingstall.relay.engine;

/**
 * Estimates the slowdown factor as the ratio of the times of first answers to their predictions, never below 1. Predictions
 * include the factor, so it converges to the square root of the true ratio. Confined to the request loop.
 */
final class PredictionRatio implements EngineSlowdown {
    /** Weight of a new sample in the moving average, which converges within about ten responses. */
    private static final double SAMPLE_WEIGHT = 0.15;

    /** Upper limit of a sample; an engine beyond it is the last choice in any case. */
    private static final double MAX_RATIO = 8;

    private double ratio = 1;

    @Override
    public double factor(long nowMs) {
        return Math.max(1, ratio);
    }

    @Override
    public double decodeFactor(long nowMs) {
        return 1;
    }

    @Override
    public double relativeToMean() {
        return ratio;
    }

    @Override
    public double record(Sample sample, long nowMs) {
        ratio += SAMPLE_WEIGHT * (Math.min(MAX_RATIO, sample.tookMs() / Math.max(1, sample.predictedMs())) - ratio);
        return sample.ownMs();
    }

    @Override
    public void retire() {}
}
