package org.wingstall.core.claim;

import org.wingstall.schema.table.ClaimRow;

/**
 * Describes the next step of an attempt for its claim.
 *
 * <p>{@code if (decision instanceof ClaimDecision.Run run) { dispatch(run.version()); }}
 *
 * @since 0.1
 */
public sealed interface ClaimDecision {
    /**
     * Write the row if its version is unchanged; only a confirmed write counts as a success.
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
     * The request has already run: return the recorded answer.
     *
     * @param row the row with the recorded answer
     */
    record Repeat(ClaimRow row) implements ClaimDecision {}

    /**
     * Another attempt holds the key.
     *
     * @param remainingMs time until that attempt's deadline, in ms; negative when it has passed
     */
    record Held(long remainingMs) implements ClaimDecision {}

    /** The key was used for a request with another body. */
    record KeyReused() implements ClaimDecision {}

    /** No action is needed. */
    record Nothing() implements ClaimDecision {}
}
