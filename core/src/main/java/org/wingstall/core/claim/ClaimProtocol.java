package org.wingstall.core.claim;

import org.wingstall.schema.table.ClaimRow;

/**
 * Decides what an attempt at a non-repeatable request may do next, given the current claim row in the table.
 *
 * <p>The rules follow the model in {@code spec/promela/claims.pml}. No rule permits a run based on a clock: an attempt
 * runs only when the table is known to hold {@code CLAIMED} by the same attempt, and no attempt takes over another's
 * {@code CLAIMED} row.
 *
 * <p>{@code ClaimDecision next = ClaimProtocol.acquire(attempt, fingerprint, version, row, nowMs);}
 *
 * @since 0.1
 */
public final class ClaimProtocol {
    private ClaimProtocol() {}

    /**
     * Decides the next step of an attempt that wants to claim the key.
     *
     * @param mine the claim that the attempt wants to write
     * @param version version of the row; 0 when it is absent
     * @param row the row, or null when it is absent
     * @param nowMs wall-clock time in ms; used only to distinguish {@code in-progress} from {@code unknown}
     * @return the next step
     */
    public static ClaimDecision acquire(ClaimRow mine, long version, ClaimRow row, long nowMs) {
        if (row == null) {
            return new ClaimDecision.Write(0, mine);
        }
        return switch (row.getState()) {
            case CLAIMED -> claimed(mine, version, row, nowMs);
            case DONE -> done(mine, row);
            case ABANDONED -> new ClaimDecision.Write(version, mine);
        };
    }

    /**
     * Decides how an attempt that was cancelled before it ran ensures that it never holds the key.
     *
     * @param mine the claim that the attempt may have written
     * @param version version of the row; 0 when it is absent
     * @param row the row, or null when it is absent
     * @return a write that makes every late write of the attempt fail, or {@link ClaimDecision.Nothing}
     */
    public static ClaimDecision abandon(ClaimRow mine, long version, ClaimRow row) {
        ClaimRow abandoned = withState(mine, ClaimRow.State.ABANDONED);
        if (row == null) {
            return new ClaimDecision.Write(0, abandoned);
        }
        boolean owner = row.getAttempt().equals(mine.getAttempt());
        return switch (row.getState()) {
            case DONE -> new ClaimDecision.Nothing();
            case CLAIMED -> owner ? new ClaimDecision.Write(version, abandoned) : new ClaimDecision.Nothing();
            case ABANDONED -> owner ? new ClaimDecision.Nothing() : new ClaimDecision.Write(version, abandoned);
        };
    }

    private static ClaimDecision claimed(ClaimRow mine, long version, ClaimRow row, long nowMs) {
        if (row.getAttempt().equals(mine.getAttempt())) {
            return new ClaimDecision.Run(version);
        }
        if (!row.getFingerprint().equals(mine.getFingerprint())) {
            return new ClaimDecision.KeyReused();
        }
        long remainingMs = row.getClaimedAtMs() + row.getDeadlineMs() - nowMs;
        return new ClaimDecision.Held(remainingMs);
    }

    private static ClaimDecision done(ClaimRow mine, ClaimRow row) {
        return row.getFingerprint().equals(mine.getFingerprint())
                ? new ClaimDecision.Repeat(row)
                : new ClaimDecision.KeyReused();
    }

    private static ClaimRow withState(ClaimRow row, ClaimRow.State state) {
        return new ClaimRow(
                state, row.getAttempt(), row.getFingerprint(), row.getClaimedAtMs(), row.getDeadlineMs(), null, null);
    }
}
