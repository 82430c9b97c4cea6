package org.wingstall.relay.engine;

import org.wingstall.core.estimate.OnlineLinearRegression;

/**
 * How fast the engines of one service are, learned from the times of their first answers. Confined to the request loop.
 */
final class EngineSpeed {
    /** Time until the first event of a prompt that is read at once, assumed until answers tell, in ms. */
    private static final double ASSUMED_FIRST_STEPS_MS = 60;

    /** Prompt tokens read in a millisecond, assumed until answers tell; engines of today read 38 to 61. */
    private static final double ASSUMED_TOKENS_PER_MS = 50;

    /** A prompt as long as many are, in tokens. */
    private static final double USUAL_TOKENS = 4000;

    /**
     * What each request that runs there adds to the first steps of the next one, as a part of them: each step gets a little
     * longer with the requests that share it.
     */
    private static final double BESIDE_PART = 1.0 / 15;

    private final OnlineLinearRegression firstAnswer =
            new OnlineLinearRegression(ASSUMED_FIRST_STEPS_MS, 1 / ASSUMED_TOKENS_PER_MS, USUAL_TOKENS);

    /** Records a first answer, without the time that the prompt waited for others. */
    void recordFirstAnswer(int readTokens, long tookMs) {
        firstAnswer.observe(readTokens, tookMs);
    }

    /** Returns the time to read so many tokens, in ms. */
    double prefillMs(int tokens) {
        return firstAnswer.slope() * tokens;
    }

    /** Returns the time from the end of reading to the first event, in ms. */
    double firstDecodeMs() {
        return firstAnswer.intercept();
    }

    /** Returns what a request that runs there costs the next one, in ms. */
    double concurrencyPenaltyMs() {
        return firstDecodeMs() * BESIDE_PART;
    }
}
