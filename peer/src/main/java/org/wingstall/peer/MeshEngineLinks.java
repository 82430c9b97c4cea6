package org.wingstall.peer;

import java.util.Map;
import org.wingstall.schema.peer.EngineAsk;
import org.wingstall.schema.peer.EngineChoice;
import org.wingstall.schema.peer.EngineOutcome;
import org.wingstall.schema.peer.PeerFrame;

/** Carries what gateways say about engines over the links of a mesh. Confined to the mesh's event loop. */
final class MeshEngineLinks implements EngineLinks {
    private final Map<String, PeerLink> links;
    private final PromptReplies replies;
    private EngineHost host;

    MeshEngineLinks(Map<String, PeerLink> links, PromptReplies replies) {
        this.links = links;
        this.replies = replies;
    }

    void attach(EngineHost engineHost) {
        host = engineHost;
    }

    @Override
    public boolean ask(String boxId, long correlation, EngineAsk ask) {
        boolean sent = PeerLink.send(links, boxId, Frames.engineAsk(correlation, ask));
        if (sent) {
            replies.expect(boxId);
        }
        return sent;
    }

    @Override
    public boolean tellChoice(String boxId, long correlation, EngineChoice choice) {
        return PeerLink.send(links, boxId, Frames.engineChoice(correlation, choice));
    }

    @Override
    public boolean tellOutcome(String boxId, EngineOutcome outcome) {
        return PeerLink.send(links, boxId, Frames.engineOutcome(outcome));
    }

    /** Takes a frame about engines; returns whether it was one. */
    boolean frame(String boxId, PeerFrame frame) {
        if (host == null) {
            return false;
        }
        if (frame.getEngineAsk() != null) {
            host.asked(boxId, frame.getCorrelation(), frame.getEngineAsk());
        } else if (frame.getEngineChoice() != null) {
            replies.confirmed(boxId);
            host.chosen(boxId, frame.getCorrelation(), frame.getEngineChoice());
        } else if (frame.getEngineOutcome() != null) {
            host.ended(boxId, frame.getEngineOutcome());
        } else {
            return false;
        }
        return true;
    }
}
