package org.wingstall.gateway.claim;

import java.util.concurrent.CompletableFuture;
import org.wingstall.core.claim.ClaimChange;
import org.wingstall.gateway.Metrics;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.platform.TransactionResult;

/** Commits each change in a transaction of its own; the baseline of the batches. */
final class SingleClaimStore implements ClaimStore {
    private final ClaimTable claims;
    private final Metrics metrics;

    SingleClaimStore(ClaimTable claims, Metrics metrics) {
        this.claims = claims;
        this.metrics = metrics;
    }

    @Override
    public boolean reachable() {
        return claims.reachable();
    }

    @Override
    public CompletableFuture<ClaimTable.Versioned> read(String key) {
        return claims.read(key);
    }

    @Override
    public CompletableFuture<ClaimChange> write(ClaimRequest request) {
        metrics.claimTransaction(1);
        return claims.rows()
                .replace(request.getKey(), request.getExpectedVersion(), Json.toTree(request.getRow()))
                .handle((result, failure) -> failure == null ? changeOf(result) : ClaimChange.unanswered());
    }

    private static ClaimChange changeOf(TransactionResult result) {
        if (result.isCommitted()) {
            return ClaimChange.committed(result.getVersions().get(0).getVersion());
        }
        ClaimTable.Versioned found = ClaimTable.versioned(result.getConflicts().get(0));
        return ClaimChange.conflict(found.version(), found.row());
    }
}
