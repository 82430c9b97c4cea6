package org.wingstall.relay.wire;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.wingstall.core.quarantine.Fingerprint;

/**
 * One piece of a stage's work for one request.
 *
 * <p>{@code new Piece("9c41", 0, 2, "7c1e", List.of(), "7c1e")}
 *
 * @param requestId the request
 * @param stage number of the stage
 * @param index number of the piece in its stage
 * @param key what a first stage's piece is made from; null when it reads results
 * @param inputs results that it reads: all of all stages before it
 * @param origin what the request's first pieces are made from, and so all that read their results; null when it has none
 * @since 0.2
 */
public record Piece(String requestId, int stage, int index, String key, List<String> inputs, String origin) {
    /**
     * A stage of a request.
     *
     * @param requestId the request
     * @param stage number of the stage
     */
    public record StageId(String requestId, int stage) {}

    /** Returns whether the piece can be told from others, whichever request it is made for. */
    public boolean identifiable() {
        return origin != null;
    }

    /** Returns what makes pieces of several requests the same. */
    public Fingerprint fingerprint(String service) {
        byte[] content = origin.getBytes(StandardCharsets.UTF_8);
        return Fingerprint.of("", "PIECE", service + "/" + stage + "/" + index, content);
    }

    /** Returns the stage that the piece belongs to. */
    public StageId stageId() {
        return new StageId(requestId, stage);
    }
}
