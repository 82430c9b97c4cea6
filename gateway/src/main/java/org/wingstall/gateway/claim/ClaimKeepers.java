package org.wingstall.gateway.claim;

import org.wingstall.core.time.MonotonicClock;
import org.wingstall.peer.PeerMesh;

/**
 * Puts a claim keeper together from the writers that the settings ask for.
 *
 * <p>{@code ClaimKeeper keeper = ClaimKeepers.create(parts, mesh, "kgn-a-1", 50, 400);}
 *
 * @since 0.1
 */
public final class ClaimKeepers {
    private ClaimKeepers() {}

    /**
     * Creates a keeper.
     *
     * @param parts what it works with
     * @param clock clock of the batches
     * @param mesh links to the box that commits for the failure domain
     * @param boxId this box
     * @param batchIntervalMs least time between two transactions, in ms; 0 commits each change alone, here
     * @param forwardTimeoutMs longest wait for the committing box, in ms
     * @return the keeper
     */
    public static ClaimKeeper create(
            ClaimKeeper.Parts parts,
            MonotonicClock clock,
            PeerMesh mesh,
            String boxId,
            long batchIntervalMs,
            long forwardTimeoutMs) {
        ClaimTable claims = new ClaimTable(parts.table(), parts.tableUnheard());
        if (batchIntervalMs == 0) {
            ClaimStore single = new SingleClaimStore(claims, parts.metrics());
            return new ClaimKeeper(parts, single, single);
        }
        ClaimStore local = new BatchingClaimStore(claims, parts.loop(), clock, batchIntervalMs, parts.metrics());
        ClaimStore store = new ForwardingClaimStore(boxId, mesh, local, forwardTimeoutMs, parts.metrics());
        return new ClaimKeeper(parts, store, local);
    }
}
