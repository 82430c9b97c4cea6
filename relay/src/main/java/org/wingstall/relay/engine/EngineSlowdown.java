package org.wingstall.relay.engine;

/**
 * Estimates the slowdown factor of one engine: the ratio of its times to those that the estimate of its service
 * predicts; below 1, the engine is faster than that. Confined to the request loop.
 */
interface EngineSlowdown {
    /**
     * A measured first answer.
     *
     * @param expectedMs time that the estimate of the service predicts without slowdown or waiting, in ms
     * @param waitMs predicted time of waiting for earlier prompts, in ms
     * @param predictedMs time that was predicted when the engine was selected, waiting included, in ms
     * @param tookMs time that it took, waiting included, in ms
     */
    record Sample(double expectedMs, double waitMs, double predictedMs, double tookMs) {
        /** Returns the time without the predicted wait, in ms. */
        double ownMs() {
            return tookMs - waitMs;
        }

        /** Returns the part of the predicted time that is not waiting: errors of the wait distort the rest less. */
        double weight() {
            double ownMs = Math.max(1, expectedMs);
            return ownMs / (ownMs + Math.max(0, waitMs));
        }
    }

    /** Returns the factor on the times that the service's estimate predicts for prefill and the queue. */
    double factor(long nowMs);

    /** Returns the factor on the first decode steps. */
    double decodeFactor(long nowMs);

    /** Returns the long-term factor relative to the mean of the service. */
    double relativeToMean();

    /** Records a first answer; returns its time without wait and slowdown, for the service's estimate, in ms. */
    double record(Sample sample, long nowMs);

    /** Ends the contribution of the engine to the mean of its service. */
    void retire();
}
