package org.wingstall.peer;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.peer.CorrelationSequence;
import org.wingstall.schema.peer.ConfigDocument;
import org.wingstall.schema.peer.PeerFrame;

/**
 * Passes documents of the configuration from peer to peer, for gateways that the platform's store does not answer. Confined
 * to the mesh's event loop.
 *
 * <p>{@code mesh.configDocuments().request("kgn-a-1", 7, 400).thenAccept(reply -> ...);}
 *
 * @since 0.20
 */
public final class ConfigDocumentLinks {
    private static final ConfigDocument NONE = new ConfigDocument(0, "");

    private final EventLoop loop;
    private final Map<String, PeerLink> links;
    private final Map<Long, Request> requests = new HashMap<>();
    private volatile ConfigDocumentHost host;
    private final CorrelationSequence correlations = new CorrelationSequence();

    private record Request(String boxId, CompletableFuture<Optional<ConfigDocument>> reply) {}

    ConfigDocumentLinks(EventLoop loop, Map<String, PeerLink> links) {
        this.loop = loop;
        this.links = links;
    }

    /** Attaches the host; before the mesh starts. */
    public void attach(ConfigDocumentHost documentHost) {
        host = documentHost;
    }

    /**
     * Requests a document from a peer. For use on any thread.
     *
     * @param boxId the peer
     * @param version lowest version that is of use
     * @param timeoutMs longest wait, in ms
     * @return the reply, whose version is 0 if the peer has no such document; empty if none came
     */
    public CompletableFuture<Optional<ConfigDocument>> request(String boxId, long version, long timeoutMs) {
        CompletableFuture<Optional<ConfigDocument>> reply = new CompletableFuture<>();
        loop.execute(() -> {
            long correlation = correlations.next();
            if (!PeerLink.send(links, boxId, Frames.configDocumentRequest(correlation, version))) {
                reply.complete(Optional.empty());
                return;
            }
            requests.put(correlation, new Request(boxId, reply));
            loop.schedule(() -> complete(correlation, Optional.empty()), timeoutMs, TimeUnit.MILLISECONDS);
        });
        return reply;
    }

    private void complete(long correlation, Optional<ConfigDocument> document) {
        Request request = requests.remove(correlation);
        if (request != null) {
            request.reply().complete(document);
        }
    }

    /** Takes a frame about documents of the configuration; returns whether it was one. */
    boolean frame(PeerLink link, PeerFrame frame) {
        if (frame.getConfigDocumentRequest() != null) {
            long version = frame.getConfigDocumentRequest().getVersion();
            ConfigDocument document =
                    host == null ? NONE : host.document(version).orElse(NONE);
            link.send(Frames.configDocument(frame.getCorrelation(), document));
        } else if (frame.getConfigDocument() != null) {
            Request request = requests.get(frame.getCorrelation());
            if (request != null && request.boxId().equals(link.peer().getBoxId())) {
                complete(frame.getCorrelation(), Optional.of(frame.getConfigDocument()));
            }
        } else {
            return false;
        }
        return true;
    }
}
