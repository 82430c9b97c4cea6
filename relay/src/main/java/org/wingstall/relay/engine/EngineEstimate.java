package org.wingstall.relay.engine;

/**
 * Holds the coordinator's prediction for an engine. It is sent back with the outcome of the request, so that the
 * coordinator improves its predictions.
 *
 * <p>{@code new EngineEstimate(140, 20, 2890)}
 *
 * @param firstAnswerMs time until the first event of a response, in ms
 * @param waitMs part of that until the prefill of the prompts assigned to the engine before is done, in ms
 * @param prefillTokens tokens of the prompt that the engine has to prefill
 * @since 0.5
 */
public record EngineEstimate(long firstAnswerMs, int waitMs, int prefillTokens) {}
