package org.wingstall.relay.engine;

/**
 * What the box that chose an engine expects of it, told back with what became of the request so that it learns.
 *
 * <p>{@code new EngineEstimate(140, 20, 2890)}
 *
 * @param firstAnswerMs time until the first sign of an answer, in ms
 * @param waitMs part of that until the prompts that were given to the engine before are read, in ms
 * @param readTokens tokens of the prompt that it has to read
 * @since 0.5
 */
public record EngineEstimate(long firstAnswerMs, int waitMs, int prefillTokens) {}
