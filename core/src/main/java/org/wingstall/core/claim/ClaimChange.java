package org.wingstall.core.claim;

import org.wingstall.schema.table.ClaimRow;

/**
 * Describes the result of a write to a claim row.
 *
 * <p>{@code ClaimChange change = ClaimChange.committed(7);}
 *
 * @param result whether the write took effect
 * @param version version of the row, when the result is definite
 * @param row the current row, on a conflict; null when it is absent
 * @since 0.1
 */
public record ClaimChange(Result result, long version, ClaimRow row) {
    /** Whether a write took effect. */
    public enum Result {
        /** The write took effect. */
        COMMITTED,
        /** The row had another version; the write did not and will not take effect. */
        CONFLICT,
        /** No response came: the write may have taken effect, or may still do so. */
        UNANSWERED
    }

    /** Returns the result of a write that took effect. */
    public static ClaimChange committed(long version) {
        return new ClaimChange(Result.COMMITTED, version, null);
    }

    /** Returns the result of a write that failed because the row had another version. */
    public static ClaimChange conflict(long version, ClaimRow row) {
        return new ClaimChange(Result.CONFLICT, version, row);
    }

    /** Returns the result of a write that got no response and may or may not take effect. */
    public static ClaimChange unanswered() {
        return new ClaimChange(Result.UNANSWERED, 0, null);
    }
}
