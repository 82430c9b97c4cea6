package org.wingstall.relay.engine;

import org.wingstall.core.estimate.OnlineLinearRegression;

/**
 * Estimates the speed of one service's engines from the times of their first responses. Confined to the request loop.
 */
final class EngineSpeed {
    /**
     * Initial value for the time from the end of the prefill to the first event, in ms, used until responses have been
     * measured.
     */
    private static final double INITIAL_FIRST_DECODE_MS = 60;

    /** Initial value for the prefill rate, in tokens per ms, used until responses have been measured. */
    private static final double INITIAL_TOKENS_PER_MS = 50;

    /** Typical length of a prompt, in tokens. */
    private static final double TYPICAL_TOKENS = 4000;

    /**
     * Slowdown of the first decode steps per running request, as a fraction: each step takes a little longer with each
     * request that shares it.
     */
    private static final double CONCURRENCY_PENALTY = 1.0 / 15;

    private final OnlineLinearRegression firstAnswer =
            new OnlineLinearRegression(INITIAL_FIRST_DECODE_MS, 1 / INITIAL_TOKENS_PER_MS, TYPICAL_TOKENS);

    /**
     * Records the time of a first response, without the wait for other prompts and the slowdown of the engine.
     */
    void recordFirstAnswer(int prefillTokens, double tookMs) {
        firstAnswer.observe(prefillTokens, tookMs);
    }

    /** Returns the estimated prefill time of a number of tokens, in ms. */
    double prefillMs(int tokens) {
        return firstAnswer.slope() * tokens;
    }

    /** Returns the estimated time from the end of the prefill to the first event, in ms. */
    double firstDecodeMs() {
        return firstAnswer.intercept();
    }

    /** Returns the time that each running request adds to the first event of the next one, in ms. */
    double concurrencyPenaltyMs() {
        return firstDecodeMs() * CONCURRENCY_PENALTY;
    }
}
