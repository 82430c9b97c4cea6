package org.wingstall.gateway.claim;

import java.util.concurrent.CompletableFuture;
import org.wingstall.core.claim.ClaimChange;
import org.wingstall.gateway.Metrics;
import org.wingstall.peer.PeerMesh;
import org.wingstall.schema.peer.ClaimReply;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.table.PlatformException;

/**
 * Hands changes to the box that commits them for the failure domain, or commits them here when none is to be had. Reads
 * go there only while the table gives this box no answers.
 */
final class ForwardingClaimStore implements ClaimStore {
    private final String self;
    private final PeerMesh mesh;
    private final ClaimStore local;
    private final long timeoutMs;
    private final Metrics metrics;

    ForwardingClaimStore(String self, PeerMesh mesh, ClaimStore local, long timeoutMs, Metrics metrics) {
        this.self = self;
        this.mesh = mesh;
        this.local = local;
        this.timeoutMs = timeoutMs;
        this.metrics = metrics;
    }

    @Override
    public boolean reachable() {
        return mesh.peers().tableReachable();
    }

    @Override
    public CompletableFuture<ClaimChange> write(ClaimRequest request) {
        String batcher = mesh.peers().batcher();
        if (batcher.equals(self)) {
            return local.write(request);
        }
        metrics.claimForwarded();
        return mesh.rows().forward(batcher, request, timeoutMs).thenCompose(reply -> {
            boolean notSent = reply.getResult() == ClaimReply.Result.UNANSWERED && reply.getVersion() < 0;
            return notSent ? local.write(request) : CompletableFuture.completedFuture(changeOf(reply));
        });
    }

    @Override
    public CompletableFuture<ClaimTable.Versioned> read(String key) {
        String batcher = mesh.peers().batcher();
        if (local.reachable() || batcher.equals(self)) {
            return local.read(key);
        }
        metrics.claimForwarded();
        return mesh.rows()
                .forward(batcher, new ClaimRequest(key, 0, null), timeoutMs)
                .thenCompose(ForwardingClaimStore::rowOf);
    }

    private static CompletableFuture<ClaimTable.Versioned> rowOf(ClaimReply reply) {
        if (reply.getResult() == ClaimReply.Result.UNANSWERED) {
            return CompletableFuture.failedFuture(
                    new PlatformException(PlatformException.Kind.UNANSWERED, "the committing box gave no answer"));
        }
        return CompletableFuture.completedFuture(new ClaimTable.Versioned(reply.getVersion(), reply.getRow()));
    }

    private static ClaimChange changeOf(ClaimReply reply) {
        return new ClaimChange(
                ClaimChange.Result.valueOf(reply.getResult().value()), reply.getVersion(), reply.getRow());
    }
}
