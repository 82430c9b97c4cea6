package org.wingstall.peer;

import io.netty.buffer.ByteBuf;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.wingstall.schema.peer.PeerFrame;

/**
 * What gateways say to each other about one subject, passed on from link to link. Confined to the mesh's event loop.
 *
 * <p>{@code mesh.crashes().tell(news, "kgn-a-1");}
 *
 * @param <N> what is told
 * @since 0.9
 */
public final class NewsLinks<N> {
    private final Map<String, PeerLink> links;
    private final Function<N, PeerFrame> encoder;
    private final Function<PeerFrame, N> decoder;
    private final Predicate<String> hubs;
    private NewsHost<N> host;

    NewsLinks(
            Map<String, PeerLink> links,
            Function<N, PeerFrame> encoder,
            Function<PeerFrame, N> decoder,
            Predicate<String> hubs) {
        this.hubs = hubs;
        this.links = links;
        this.encoder = encoder;
        this.decoder = decoder;
    }

    /** Attaches the host; before the mesh starts. */
    public void attach(NewsHost<N> newsHost) {
        host = newsHost;
    }

    /**
     * Tells every linked peer.
     *
     * @param news what is told
     * @param exceptBox peer that it was heard from; null for none
     */
    public void tell(N news, String exceptBox) {
        ByteBuf encoded = PeerLink.encode(encoder.apply(news));
        links.forEach((boxId, link) -> {
            if (!boxId.equals(exceptBox) && link.active()) {
                link.send(encoded);
            }
        });
        encoded.release();
    }

    /**
     * Tells some peers; those without a link are left out.
     *
     * @param news what is told
     * @param boxIds the peers
     */
    public void send(N news, Collection<String> boxIds) {
        ByteBuf encoded = PeerLink.encode(encoder.apply(news));
        for (String boxId : boxIds) {
            PeerLink link = links.get(boxId);
            if (link != null && link.active()) {
                link.send(encoded);
            }
        }
        encoded.release();
    }

    /** Returns the peers with a link, in a view that changes with the links. */
    public Set<String> linkedBoxes() {
        return Collections.unmodifiableSet(links.keySet());
    }

    /** Returns whether a box, which may be this one, is a hub, to which every box has a link. */
    public boolean isHub(String boxId) {
        return hubs.test(boxId);
    }

    /** A new link may end a cut, or lead to a box that has just started. */
    void linked(PeerLink link) {
        if (host != null) {
            host.linked(link.peer().getBoxId(), link.dialled()).forEach(news -> link.send(encoder.apply(news)));
        }
    }

    /** Passes a frame about the subject to the host; returns whether it was one. */
    boolean frame(String boxId, PeerFrame frame) {
        N news = decoder.apply(frame);
        if (news != null && host != null) {
            host.heard(boxId, news);
        }
        return news != null;
    }
}
