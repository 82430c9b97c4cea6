package org.wingstall.relay.engine;

/**
 * What one engine has been given by all boxes, as far as the box that chooses knows. Confined to the request loop.
 *
 * <p>Nothing has to be taken back: prompts count as read when their time has passed, and requests fade.
 */
final class EngineLoad {
    /** Time in which the requests that run there fade to a third, in ms; about as long as an answer takes. */
    private static final double FADE_MS = 1000;

    /** Weight of a new figure in the mean of how slow the engine is; some ten answers settle it. */
    private static final double NEW_WEIGHT = 0.15;

    /** How slow an engine may count at most; beyond, it is the last choice in any case. */
    private static final double MOST_SLOWNESS = 8;

    private final long incarnation;
    private final EngineSpeed speed;
    private final PrefixCacheModel prefixCache;
    private double readUntilMs;
    private double running;
    private double runningAsOfMs;
    private double slowdown = 1;

    EngineLoad(long incarnation, EngineSpeed speed, PrefixCacheModel memory) {
        this.incarnation = incarnation;
        this.speed = speed;
        this.prefixCache = memory;
    }

    /** Returns what of prompts it keeps. */
    PrefixCacheModel prefixCache() {
        return prefixCache;
    }

    /** Returns the incarnation of the engine that this is about. */
    long incarnation() {
        return incarnation;
    }

    /** Returns the time that it takes to read so many tokens, in ms. */
    double prefillMs(int tokens) {
        return slowdown() * speed.prefillMs(tokens);
    }

    /** Returns the time from the end of reading to the first event beside what runs there, in ms. */
    double firstDecodeMs(long nowMs) {
        return speed.firstDecodeMs() + slowdown() * speed.concurrencyPenaltyMs() * running(nowMs);
    }

    /** Returns the time until the prompts that it was given are read, in ms. */
    double waitMs(long nowMs) {
        return Math.max(0, readUntilMs - nowMs);
    }

    /** Returns the requests that run there, faded by age. */
    double running(long nowMs) {
        return running * Math.exp((runningAsOfMs - nowMs) / FADE_MS);
    }

    /** Returns how many times as long as expected its first answers take, at least 1. */
    double slowdown() {
        return Math.max(1, slowdown);
    }

    /** Records a prompt that it is given now, and of the tokens that it has to read. */
    void recordAssigned(Prompt prompt, int readTokens, long nowMs) {
        readUntilMs = Math.max(nowMs, readUntilMs) + prefillMs(readTokens);
        prefixCache.add(prompt, (long) readUntilMs);
        running = running(nowMs) + 1;
        runningAsOfMs = nowMs;
    }

    /** Records the time that a first answer took. */
    void recordFirstAnswer(EngineEstimate expected, long tookMs) {
        double ratio = Math.min(MOST_SLOWNESS, tookMs / (double) Math.max(1, expected.firstAnswerMs()));
        slowdown += NEW_WEIGHT * (ratio - slowdown);
        speed.recordFirstAnswer(expected.prefillTokens(), tookMs - expected.waitMs());
    }
}
