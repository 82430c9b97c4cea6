package org.wingstall.relay.wire;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * A decoded request of a caller; headers and body are forwarded unchanged.
 *
 * <p>{@code RelayRequest request = callerProtocol.decode(call);}
 *
 * @param id identifier of the caller's attempt
 * @param method HTTP method
 * @param host host that the caller named
 * @param path path without its query
 * @param target path and query
 * @param headers headers that are forwarded with the request
 * @param body the body
 * @param deadlineMs time that the caller waits, in ms from its arrival
 * @param key the caller's key, or null
 * @param model name of the model that is to answer the prompt; empty when the caller names none
 * @param prompt the parts of its prompt, in order; empty without a prompt
 * @param promptTokens tokens of the prompt; 0 without one
 * @param answerTokens maximum tokens of the response; 0 without a prompt
 * @param pieces pieces of each stage; a stage that is not named has one
 * @param pieceKey key of the input of the first stages' pieces, or null
 * @param lastEventId last event that the caller received of a stream that it resumes, or null
 * @param resumes identifier of the attempt that brought the first event of that stream, or null
 * @since 0.2
 */
public record RelayRequest(
        String id,
        String method,
        String host,
        String path,
        String target,
        HttpHeaders headers,
        byte[] body,
        long deadlineMs,
        String key,
        String model,
        List<PromptPart> prompt,
        int promptTokens,
        int answerTokens,
        List<Integer> pieces,
        String pieceKey,
        String lastEventId,
        String resumes) {
    /**
     * A part of a prompt; many prompts may contain the same part.
     *
     * @param id identifier of the part
     * @param tokens its length
     */
    public record PromptPart(String id, int tokens) {}

    /** Returns the parts of the prompt that other requests may share: all but the last. */
    public List<PromptPart> sharedParts() {
        return prompt.subList(0, Math.max(0, prompt.size() - 1));
    }

    /** Returns the number of pieces of a stage for this request. */
    public int piecesOf(int stage) {
        return stage < pieces.size() ? pieces.get(stage) : 1;
    }
}
