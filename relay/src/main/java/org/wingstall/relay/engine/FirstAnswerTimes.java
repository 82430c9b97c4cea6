package org.wingstall.relay.engine;

import org.wingstall.core.estimate.OnlineLinearRegression;

/**
 * Estimates how long this box's requests wait for the first event of a response after they are sent, from the number of
 * tokens in their own part. Confined to the request loop.
 */
final class FirstAnswerTimes {
    /** Initial value for the time of a request without tokens, in ms, used until responses have been measured. */
    private static final double INITIAL_BASE_MS = 150;

    /** Initial value for the time per token of a request's own part, in ms. */
    private static final double INITIAL_MS_PER_TOKEN = 0.02;

    /** Typical length of a request's own part, in tokens. */
    private static final double TYPICAL_TOKENS = 2000;

    /** Weight of a new sample in the mean deviation, which converges within about twenty responses. */
    private static final double SAMPLE_WEIGHT = 0.08;

    /** Upper limit of one sample, as a fraction of the expected time, so that a stall hardly moves the mean. */
    private static final double MAX_DEVIATION = 1;

    private final OnlineLinearRegression trend =
            new OnlineLinearRegression(INITIAL_BASE_MS, INITIAL_MS_PER_TOKEN, TYPICAL_TOKENS);
    private double meanDeviationMs;

    /** Records the time that a first response took. */
    void recordFirstAnswer(int ownTokens, long tookMs) {
        double expectedMs = trend.predict(ownTokens);
        double deviationMs = Math.min(MAX_DEVIATION * expectedMs, Math.abs(tookMs - expectedMs));
        meanDeviationMs += SAMPLE_WEIGHT * (deviationMs - meanDeviationMs);
        trend.observe(ownTokens, tookMs);
    }

    /** Returns the time within which most first responses arrive, in ms. */
    long meanPlusDeviationMs(int ownTokens) {
        return Math.round(trend.predict(ownTokens) + meanDeviationMs);
    }
}
