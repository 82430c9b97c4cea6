package org.wingstall.core.claim;

import org.wingstall.schema.table.ClaimRow;

/**
 * What an attempt does next with its claim.
 *
 * <p>{@code if (decision instanceof ClaimDecision.Run run) { dispatch(run.version()); }}
 *
 * @since 0.1
 */
public sealed interface ClaimDecision {
    /**
     * Write the row if it still has the version; only a definite yes counts.
     *
     * @param expectedVersion version that the row must have; 0 for an absent row
     * @param row the new row
     */
    record Write(long expectedVersion, ClaimRow row) implements ClaimDecision {}

    /**
     * The table holds this attempt's claim: run the request.
     *
     * @param version version of the row
     */
    record Run(long version) implements ClaimDecision {}

    /**
     * The request has run: give the recorded answer again.
     *
     * @param row the row with the answer
     */
    record Repeat(ClaimRow row) implements ClaimDecision {}

    /**
     * Another attempt holds the key.
     *
     * @param leftMs time left of that attempt's deadline, in ms; negative when it has passed
     */
    record Held(long remainingMs) implements ClaimDecision {}

    /** The key belongs to another body. */
    record KeyReused() implements ClaimDecision {}

    /** Nothing is left to do. */
    record Nothing() implements ClaimDecision {}
}
