package org.wingstall.peer;

import java.util.List;
import java.util.Map;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.PeerFrame;

/**
 * What gateways say to each other about requests that crash endpoints. Confined to the mesh's event loop.
 *
 * <p>{@code mesh.crashes().tell(news, "kgn-a-1");}
 *
 * @since 0.7
 */
public final class CrashLinks {
    private final Map<String, PeerLink> links;
    private CrashHost host;

    CrashLinks(Map<String, PeerLink> links) {
        this.links = links;
    }

    /** Attaches the host; before the mesh starts. */
    public void attach(CrashHost crashHost) {
        host = crashHost;
    }

    /**
     * Tells every linked peer.
     *
     * @param news what is told
     * @param exceptBox peer that it was heard from; null for none
     */
    public void tell(CrashNews news, String exceptBox) {
        PeerFrame frame = Frames.crashNews(news);
        links.forEach((boxId, link) -> {
            if (!boxId.equals(exceptBox) && link.active()) {
                link.send(frame);
            }
        });
    }

    /** A new link may end a cut, or lead to a box that has just started. */
    void linked(PeerLink link) {
        if (host != null) {
            List<CrashNews> known = host.known();
            known.forEach(news -> link.send(Frames.crashNews(news)));
        }
    }

    /** Passes a frame about crashes to the host; returns whether it was one. */
    boolean frame(String boxId, PeerFrame frame) {
        boolean crashNews = frame.getCrashNews() != null;
        if (crashNews && host != null) {
            host.heard(boxId, frame.getCrashNews());
        }
        return crashNews;
    }
}
