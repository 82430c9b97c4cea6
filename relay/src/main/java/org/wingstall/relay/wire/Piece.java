package org.wingstall.relay.wire;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import org.wingstall.core.quarantine.Fingerprint;

/**
 * One piece of a stage's work for one request.
 *
 * <p>{@code new Piece("9c41", 0, 2, "7c1e", List.of(), "7c1e")}
 *
 * @param requestId the request
 * @param stage number of the stage
 * @param index number of the piece in its stage
 * @param key key of the input of a piece of a first stage; null when it reads results
 * @param inputs handles of the results that it reads: all results of all stages before it
 * @param origin key of the input of the first stages, from which all results of the request derive; null without one
 * @since 0.2
 */
public record Piece(String requestId, int stage, int index, String key, List<String> inputs, String origin) {
    /**
     * A stage of a request.
     *
     * @param requestId the request
     * @param stage number of the stage
     */
    public record StageId(String requestId, int stage) {
        // Written out like hashCode: the generated methods of a record are made at its first use, which takes several
        // ms.
        @Override
        public boolean equals(Object other) {
            return other instanceof StageId that && stage == that.stage && Objects.equals(requestId, that.requestId);
        }

        @Override
        public int hashCode() {
            return 31 * Objects.hashCode(requestId) + stage;
        }
    }

    /** Returns whether the piece has a fingerprint that does not depend on its request. */
    public boolean identifiable() {
        return origin != null;
    }

    /** Returns the fingerprint, which is the same for equal pieces of different requests. */
    public Fingerprint fingerprint(String service) {
        byte[] content = origin.getBytes(StandardCharsets.UTF_8);
        return Fingerprint.of("", "PIECE", service + "/" + stage + "/" + index, content);
    }

    /** Returns the stage that the piece belongs to. */
    public StageId stageId() {
        return new StageId(requestId, stage);
    }
}
