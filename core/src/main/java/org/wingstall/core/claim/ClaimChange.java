package org.wingstall.core.claim;

import org.wingstall.schema.table.ClaimRow;

/**
 * What became of a write to a claim row.
 *
 * <p>{@code ClaimChange change = ClaimChange.committed(7);}
 *
 * @param result whether the write took effect
 * @param version version of the row, when the result is definite
 * @param row the row that stood in the way, on a conflict; null when it is absent
 * @since 0.1
 */
public record ClaimChange(Result result, long version, ClaimRow row) {
    /** Whether a write took effect. */
    public enum Result {
        /** The write took effect. */
        COMMITTED,
        /** The row had another version; the write did not and will not take effect. */
        CONFLICT,
        /** No answer came: the write may have taken effect, or may yet. */
        UNANSWERED
    }

    /** Returns a change that took effect. */
    public static ClaimChange committed(long version) {
        return new ClaimChange(Result.COMMITTED, version, null);
    }

    /** Returns a change that another row stood in the way of. */
    public static ClaimChange conflict(long version, ClaimRow row) {
        return new ClaimChange(Result.CONFLICT, version, row);
    }

    /** Returns a change whose fate is open. */
    public static ClaimChange unanswered() {
        return new ClaimChange(Result.UNANSWERED, 0, null);
    }
}
