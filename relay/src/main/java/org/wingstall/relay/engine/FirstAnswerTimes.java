package org.wingstall.relay.engine;

import org.wingstall.core.estimate.OnlineLinearRegression;

/**
 * How long this box's requests wait for the first sign of an answer once they are sent, by the tokens of their own part.
 * Confined to the request loop.
 */
final class FirstAnswerTimes {
    /** Assumed until answers tell, in ms. */
    private static final double ASSUMED_BASE_MS = 150;

    /** Assumed growth with the tokens of a request's own part, in ms a token. */
    private static final double ASSUMED_MS_PER_TOKEN = 0.02;

    /** A request's own part as long as many are, in tokens. */
    private static final double USUAL_TOKENS = 2000;

    /** Weight of a new deviation in the mean; some twenty answers settle it. */
    private static final double NEW_WEIGHT = 0.08;

    /** FleetBudget of the expected time by which one answer may move the mean deviation at most, so that a stall does not. */
    private static final double MOST_DEVIATION = 1;

    private final OnlineLinearRegression trend =
            new OnlineLinearRegression(ASSUMED_BASE_MS, ASSUMED_MS_PER_TOKEN, USUAL_TOKENS);
    private double deviationMs;

    /** Records the time that a first answer took. */
    void record(int ownTokens, long tookMs) {
        double expectedMs = trend.predict(ownTokens);
        double offMs = Math.min(MOST_DEVIATION * expectedMs, Math.abs(tookMs - expectedMs));
        deviationMs += NEW_WEIGHT * (offMs - deviationMs);
        trend.observe(ownTokens, tookMs);
    }

    /** Returns the time within which most first answers come, in ms. */
    long meanPlusDeviationMs(int ownTokens) {
        return Math.round(trend.predict(ownTokens) + deviationMs);
    }
}
