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

    /** Long-term slowdown from which on an engine is reported as slow, relative to the mean of its service. */
    private static final double SLOW_FROM = 2;

    /** Long-term slowdown below which a slow engine is reported as recovered; the gap avoids repeated reports. */
    private static final double RECOVERED_BELOW = 1.5;

    private final long incarnation;
    private final EngineSpeed speed;
    private final EngineSlowdown slowdown;
    private final PrefixCacheModel prefixCache;
    private double prefillUntilMs;
    private double running;
    private double runningAsOfMs;
    private boolean slow;

    EngineLoad(long incarnation, EngineSpeed speed, EngineSlowdown slowdown, PrefixCacheModel prefixCache) {
        this.incarnation = incarnation;
        this.speed = speed;
        this.slowdown = slowdown;
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

    /** Returns the slowdown factor that applies now. */
    double slowdown(long nowMs) {
        return slowdown.factor(nowMs);
    }

    /** Returns the estimated prefill time of a number of tokens at a slowdown factor, in ms. */
    double prefillMs(int tokens, double factor) {
        return factor * speed.prefillMs(tokens);
    }

    /**
     * Returns the estimated time from the end of the prefill to the first event, including the effect of running
     * requests, in ms.
     */
    double firstDecodeMs(long nowMs, double factor) {
        return slowdown.decodeFactor(nowMs) * speed.firstDecodeMs()
                + factor * speed.concurrencyPenaltyMs() * running(nowMs);
    }

    /** Returns the time until the prefill of all assigned prompts is done, in ms. */
    double waitMs(long nowMs) {
        return Math.max(0, prefillUntilMs - nowMs);
    }

    /** Returns the number of running requests, decayed by age. */
    double running(long nowMs) {
        return running * Math.exp((runningAsOfMs - nowMs) / DECAY_MS);
    }

    /** Records a prompt that is assigned now and the number of its tokens to prefill. */
    void recordAssigned(Prompt prompt, int prefillTokens, long nowMs) {
        prefillUntilMs = Math.max(nowMs, prefillUntilMs) + prefillMs(prefillTokens, slowdown(nowMs));
        prefixCache.add(prompt, (long) prefillUntilMs);
        running = running(nowMs) + 1;
        runningAsOfMs = nowMs;
    }

    /** Records the time that a first response took. */
    void recordFirstAnswer(EngineEstimate estimate, long tookMs, long nowMs) {
        double expectedMs = speed.firstDecodeMs() + speed.prefillMs(estimate.prefillTokens());
        double usualMs = slowdown.record(
                new EngineSlowdown.Sample(expectedMs, estimate.waitMs(), estimate.firstAnswerMs(), tookMs), nowMs);
        speed.recordFirstAnswer(estimate.prefillTokens(), usualMs);
    }

    /** Returns whether the long-term slowdown crossed a limit since the last call, so that it is to be reported. */
    boolean slowChanged() {
        double relative = slowdown.relativeToMean();
        boolean before = slow;
        slow = before ? relative >= RECOVERED_BELOW : relative >= SLOW_FROM;
        return slow != before;
    }

    /** Returns whether the engine is slow, as of the last call of {@link #slowChanged}. */
    boolean slow() {
        return slow;
    }

    /** Returns the long-term slowdown relative to the mean of the service. */
    double slowdownRelativeToMean() {
        return slowdown.relativeToMean();
    }

    /** Ends the contribution of the engine to the estimates of its service. */
    void retire() {
        slowdown.retire();
    }
}
