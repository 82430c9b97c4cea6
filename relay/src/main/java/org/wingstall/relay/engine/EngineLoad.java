package org.wingstall.relay.engine;

/**
 * Estimates the load of one engine from the prompts that the coordinator has assigned to it. Confined to the request
 * loop.
 *
 * <p>The end of a request need not be recorded: the prefill of a prompt counts as done when its estimated time has
 * passed, and the number of running requests decays.
 */
final class EngineLoad {
    /**
     * Time constant with which the number of running requests decays (to about a third), in ms; about the duration of a
     * response.
     */
    private static final double DECAY_MS = 1000;

    /** Weight of a new sample in the moving average of the slowdown, which converges within about ten responses. */
    private static final double SAMPLE_WEIGHT = 0.15;

    /** Upper limit of the slowdown; an engine beyond it is the last choice in any case. */
    private static final double MAX_SLOWDOWN = 8;

    private final long incarnation;
    private final EngineSpeed speed;
    private final PrefixCacheModel prefixCache;
    private double prefillUntilMs;
    private double running;
    private double runningAsOfMs;
    private double slowdown = 1;

    EngineLoad(long incarnation, EngineSpeed speed, PrefixCacheModel prefixCache) {
        this.incarnation = incarnation;
        this.speed = speed;
        this.prefixCache = prefixCache;
    }

    /** Returns the model of the engine's prefix cache. */
    PrefixCacheModel prefixCache() {
        return prefixCache;
    }

    /** Returns the incarnation of the engine that this load belongs to. */
    long incarnation() {
        return incarnation;
    }

    /** Returns the estimated prefill time of a number of tokens, in ms. */
    double prefillMs(int tokens) {
        return slowdown() * speed.prefillMs(tokens);
    }

    /**
     * Returns the estimated time from the end of the prefill to the first event, including the effect of running
     * requests, in ms.
     */
    double firstDecodeMs(long nowMs) {
        return speed.firstDecodeMs() + slowdown() * speed.concurrencyPenaltyMs() * running(nowMs);
    }

    /** Returns the time until the prefill of all assigned prompts is done, in ms. */
    double waitMs(long nowMs) {
        return Math.max(0, prefillUntilMs - nowMs);
    }

    /** Returns the number of running requests, decayed by age. */
    double running(long nowMs) {
        return running * Math.exp((runningAsOfMs - nowMs) / DECAY_MS);
    }

    /** Returns the ratio of actual to estimated times of first responses, at least 1. */
    double slowdown() {
        return Math.max(1, slowdown);
    }

    /** Records a prompt that is assigned now and the number of its tokens to prefill. */
    void recordAssigned(Prompt prompt, int prefillTokens, long nowMs) {
        prefillUntilMs = Math.max(nowMs, prefillUntilMs) + prefillMs(prefillTokens);
        prefixCache.add(prompt, (long) prefillUntilMs);
        running = running(nowMs) + 1;
        runningAsOfMs = nowMs;
    }

    /** Records the time that a first response took. */
    void recordFirstAnswer(EngineEstimate estimate, long tookMs) {
        double ratio = Math.min(MAX_SLOWDOWN, tookMs / (double) Math.max(1, estimate.firstAnswerMs()));
        slowdown += SAMPLE_WEIGHT * (ratio - slowdown);
        speed.recordFirstAnswer(estimate.prefillTokens(), tookMs - estimate.waitMs());
    }
}
