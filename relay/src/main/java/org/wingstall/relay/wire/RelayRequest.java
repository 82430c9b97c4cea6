package org.wingstall.relay.wire;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * A caller's request, decoded once; headers and body are passed on as they came.
 *
 * <p>{@code RelayRequest request = callerWire.decode(call);}
 *
 * @param id identifier of the caller's attempt
 * @param method HTTP method
 * @param host host that the caller named
 * @param path path without its query
 * @param target path and query
 * @param headers headers that travel with the request
 * @param body the body
 * @param deadlineMs time that the caller waits, in ms from its arrival
 * @param key the caller's key, or null
 * @param prompt the parts of its prompt, in order; empty without a prompt
 * @param promptTokens tokens of the prompt; 0 without one
 * @param answerTokens most tokens of the answer; 0 without a prompt
 * @param pieces pieces of each stage; a stage that is not named has one
 * @param pieceKey what the pieces of first stages are made from, or null
 * @param lastEventId last event that the caller has of a stream it takes up again, or null
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
        List<PromptPart> prompt,
        int promptTokens,
        int answerTokens,
        List<Integer> pieces,
        String pieceKey,
        String lastEventId) {
    /**
     * A part of a prompt; the same part may stand in many prompts.
     *
     * @param id identifier of the part
     * @param tokens its length
     */
    public record PromptPart(String id, int tokens) {}

    /** Returns how many pieces a stage has for this request. */
    public int piecesOf(int stage) {
        return stage < pieces.size() ? pieces.get(stage) : 1;
    }
}
