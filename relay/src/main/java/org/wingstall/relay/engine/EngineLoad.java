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
    private final EngineMemory memory;
    private double readUntilMs;
    private double running;
    private double runningAsOfMs;
    private double slowness = 1;

    EngineLoad(long incarnation, EngineSpeed speed, EngineMemory memory) {
        this.incarnation = incarnation;
        this.speed = speed;
        this.memory = memory;
    }

    /** Returns what of prompts it keeps. */
    EngineMemory memory() {
        return memory;
    }

    /** Returns the incarnation of the engine that this is about. */
    long incarnation() {
        return incarnation;
    }

    /** Returns the time that it takes to read so many tokens, in ms. */
    double readMs(int tokens) {
        return slowness() * speed.readMs(tokens);
    }

    /** Returns the time from the end of reading to the first event beside what runs there, in ms. */
    double firstStepsMs(long nowMs) {
        return speed.firstStepsMs() + slowness() * speed.besideMs() * running(nowMs);
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
    double slowness() {
        return Math.max(1, slowness);
    }

    /** Records a prompt that it is given now, and of the tokens that it has to read. */
    void given(Prompt prompt, int readTokens, long nowMs) {
        readUntilMs = Math.max(nowMs, readUntilMs) + readMs(readTokens);
        memory.remember(prompt, (long) readUntilMs);
        running = running(nowMs) + 1;
        runningAsOfMs = nowMs;
    }

    /** Records the time that a first answer took. */
    void answered(EngineExpectation expected, long tookMs) {
        double ratio = Math.min(MOST_SLOWNESS, tookMs / (double) Math.max(1, expected.firstAnswerMs()));
        slowness += NEW_WEIGHT * (ratio - slowness);
        speed.answered(expected.readTokens(), tookMs - expected.waitMs());
    }
}
