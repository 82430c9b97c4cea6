package org.wingstall.gateway.claim;

import java.util.concurrent.CompletableFuture;
import org.wingstall.core.claim.ClaimChange;
import org.wingstall.gateway.Metrics;
import org.wingstall.peer.PeerMesh;
import org.wingstall.schema.peer.ClaimReply;
import org.wingstall.schema.peer.ClaimRequest;

/** Hands changes to the box that commits them for the failure domain, or commits them here when none is to be had. */
final class ForwardingClaimWriter implements ClaimWriter {
    private final String self;
    private final PeerMesh mesh;
    private final ClaimWriter local;
    private final long timeoutMs;
    private final Metrics metrics;

    ForwardingClaimWriter(String self, PeerMesh mesh, ClaimWriter local, long timeoutMs, Metrics metrics) {
        this.self = self;
        this.mesh = mesh;
        this.local = local;
        this.timeoutMs = timeoutMs;
        this.metrics = metrics;
    }

    @Override
    public CompletableFuture<ClaimChange> write(ClaimRequest request) {
        String batcher = mesh.batcher();
        if (batcher.equals(self)) {
            return local.write(request);
        }
        metrics.claimForwarded();
        return mesh.forward(batcher, request, timeoutMs).thenCompose(reply -> {
            boolean notSent = reply.getResult() == ClaimReply.Result.UNANSWERED && reply.getVersion() < 0;
            return notSent ? local.write(request) : CompletableFuture.completedFuture(changeOf(reply));
        });
    }

    private static ClaimChange changeOf(ClaimReply reply) {
        return new ClaimChange(
                ClaimChange.Result.valueOf(reply.getResult().value()), reply.getVersion(), reply.getRow());
    }
}
