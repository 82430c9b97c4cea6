package org.wingstall.peer;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.wingstall.schema.peer.ClaimReply;
import org.wingstall.schema.peer.ClaimRequest;
import org.wingstall.schema.peer.PeerFrame;

/**
 * What gateways say to each other about configuration and claims that are rows of the platform's table. Confined to the
 * mesh's event loop.
 *
 * <p>{@code mesh.rows().forward(mesh.peers().batcher(), request, 400);}
 *
 * @since 0.4
 */
public final class RowLinks {
    private final EventLoop loop;
    private final Map<String, PeerLink> links;
    private final ForwardedClaims forwarded;
    private volatile RowHost host;

    RowLinks(EventLoop loop, Map<String, PeerLink> links) {
        this.loop = loop;
        this.links = links;
        this.forwarded = new ForwardedClaims(loop);
    }

    /** Attaches the host of rows; before the mesh starts. */
    public void attach(RowHost rowHost) {
        host = rowHost;
    }

    /** Sends a change of a claim to the box that commits it; the result is unanswered when no answer comes in time. */
    public CompletableFuture<ClaimReply> forward(String boxId, ClaimRequest request, long timeoutMs) {
        CompletableFuture<ClaimReply> reply = new CompletableFuture<>();
        loop.execute(() -> {
            PeerLink link = links.get(boxId);
            if (link == null || !link.active()) {
                reply.complete(ForwardedClaims.notSent());
            } else {
                link.send(Frames.claimRequest(forwarded.expect(reply, timeoutMs), request));
            }
        });
        return reply;
    }

    /** Returns whether the platform's table gives this gateway no answers; read on any thread. */
    boolean tableUnheard() {
        RowHost attached = host;
        return attached != null && attached.tableUnheard();
    }

    /** Asks a peer for its configuration if that is newer than this box's. */
    void heardRevision(PeerLink link, long revision) {
        if (host != null && (revision > host.revision() || host.starting())) {
            link.send(Frames.configRequest(host.starting() ? 0 : host.revision()));
        }
    }

    /** Takes a frame about rows; returns whether it was one. */
    boolean frame(PeerLink link, PeerFrame frame) {
        if (host == null) {
            return false;
        }
        if (frame.getConfigRequest() != null) {
            long after = frame.getConfigRequest().getAfterRevision();
            link.send(Frames.configReply(after, host.configAfter(after)));
        } else if (frame.getConfigReply() != null) {
            host.configReceived(frame.getCorrelation(), frame.getConfigReply());
        } else if (frame.getClaimRequest() != null) {
            host.commit(frame.getClaimRequest())
                    .thenAccept(reply -> link.send(Frames.claimReply(frame.getCorrelation(), reply)));
        } else if (frame.getClaimReply() != null) {
            forwarded.answered(frame.getCorrelation(), frame.getClaimReply());
        } else {
            return false;
        }
        return true;
    }
}
