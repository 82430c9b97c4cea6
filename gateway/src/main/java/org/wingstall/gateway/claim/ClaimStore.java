package org.wingstall.gateway.claim;

import java.util.concurrent.CompletableFuture;
import org.wingstall.core.claim.ClaimChange;
import org.wingstall.schema.peer.ClaimRequest;

/** Reads and changes claim rows. */
interface ClaimStore {
    /** Returns whether a change or a read has a way to the platform's table as far as is known. */
    boolean reachable();

    /** Changes a row; an answer always comes, though it may say that the fate of the change is open. */
    CompletableFuture<ClaimChange> write(ClaimRequest request);

    /** Reads a row as of a moment after the call; fails when no answer comes. */
    CompletableFuture<ClaimTable.Versioned> read(String key);
}
