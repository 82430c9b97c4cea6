package org.wingstall.gateway.claim;

import java.util.concurrent.CompletableFuture;
import org.wingstall.core.claim.ClaimChange;
import org.wingstall.schema.peer.ClaimRequest;

/** Changes claim rows; an answer always comes, though it may say that the fate of the change is open. */
interface ClaimWriter {
    CompletableFuture<ClaimChange> write(ClaimRequest request);
}
