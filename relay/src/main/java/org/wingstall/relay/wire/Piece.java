package org.wingstall.relay.wire;

import java.util.List;

/**
 * One piece of a stage's work for one request.
 *
 * <p>{@code new Piece("9c41", 0, 2, "7c1e", List.of())}
 *
 * @param requestId the request
 * @param stage number of the stage
 * @param index number of the piece in its stage
 * @param key what a first stage's piece is made from; null when it reads results
 * @param inputs results that it reads: all of all stages before it
 * @since 0.2
 */
public record Piece(String requestId, int stage, int index, String key, List<String> inputs) {
    /**
     * A stage of a request.
     *
     * @param requestId the request
     * @param stage number of the stage
     */
    public record OfStage(String requestId, int stage) {}

    /** Returns the stage that the piece belongs to. */
    public OfStage ofStage() {
        return new OfStage(requestId, stage);
    }
}
