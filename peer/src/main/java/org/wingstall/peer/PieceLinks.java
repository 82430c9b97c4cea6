package org.wingstall.peer;

import java.util.List;
import java.util.Map;
import org.wingstall.schema.peer.PeerFrame;
import org.wingstall.schema.peer.StageFreed;
import org.wingstall.schema.peer.StageResult;
import org.wingstall.schema.peer.StageWork;

/**
 * What gateways say to each other about pieces of stages. Confined to the mesh's event loop.
 *
 * <p>{@code if (!mesh.pieces().askFor("kgn-a-1", 7, work)) { makeThemHere(); }}
 *
 * @since 0.3
 */
public final class PieceLinks {
    private final Map<String, PeerLink> links;
    private final PromptReplies replies;
    private PieceHost host;

    PieceLinks(Map<String, PeerLink> links, PromptReplies replies) {
        this.links = links;
        this.replies = replies;
    }

    /** Attaches the host of pieces; before the mesh starts. */
    public void attach(PieceHost pieceHost) {
        host = pieceHost;
    }

    /** Returns whether a link to a peer is open. */
    public boolean linked(String boxId) {
        PeerLink link = links.get(boxId);
        return link != null && link.active();
    }

    /** Asks a peer to have pieces made, which it confirms at once; returns whether there is a link to it. */
    public boolean askFor(String boxId, long correlation, StageWork work) {
        boolean sent = PeerLink.send(links, boxId, Frames.stageWork(correlation, work));
        if (sent) {
            replies.expect(boxId);
        }
        return sent;
    }

    /**
     * Tells a peer what became of pieces of one work. Boxes of earlier builds get a frame for each piece.
     *
     * @return whether there is a link to it
     */
    public boolean tellResults(String boxId, long correlation, List<StageResult> results) {
        PeerLink link = links.get(boxId);
        if (link == null || !link.active()) {
            return false;
        }
        if (results.size() > 1 && link.peer().isReadsResultLists()) {
            link.send(Frames.stageResults(correlation, results));
        } else {
            results.forEach(result -> link.send(Frames.stageResult(correlation, result)));
        }
        return true;
    }

    /** Tells a peer that pieces are not wanted any more. */
    public void withdraw(String boxId, long correlation) {
        PeerLink.send(links, boxId, Frames.stageWithdrawn(correlation));
    }

    /** Tells the box that gathered pieces that results are given up; returns whether there is a link to it. */
    public boolean tellFreed(String boxId, StageFreed freed) {
        return PeerLink.send(links, boxId, Frames.stageFreed(freed));
    }

    /** Passes a frame about pieces to the host; others are passed over. */
    void frame(String boxId, PeerFrame frame) {
        if (host == null) {
            return;
        }
        if (frame.getStageWork() != null) {
            PeerLink.send(links, boxId, Frames.stageTaken(frame.getCorrelation()));
            host.workCame(boxId, frame.getCorrelation(), frame.getStageWork());
        } else if (frame.getStageResult() != null) {
            host.resultCame(boxId, frame.getCorrelation(), frame.getStageResult());
        } else if (frame.getStageResults() != null) {
            frame.getStageResults().forEach(result -> host.resultCame(boxId, frame.getCorrelation(), result));
        } else if (frame.getStageFreed() != null) {
            host.freed(frame.getStageFreed());
        } else if (frame.isStageWithdrawn()) {
            host.withdrawn(boxId, frame.getCorrelation());
        } else if (frame.isStageTaken()) {
            replies.confirmed(boxId);
        }
    }

    void unlinked(String boxId) {
        if (host != null) {
            host.unlinked(boxId);
        }
    }
}
