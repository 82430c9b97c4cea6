package org.wingstall.peer;

import org.wingstall.schema.peer.StageFreed;
import org.wingstall.schema.peer.StageResult;
import org.wingstall.schema.peer.StageWork;

/**
 * What a gateway that gathers pieces of stages lends to its links; called on the mesh's event loop.
 *
 * <p>{@code mesh.pieces().attach(pieceHost);}
 *
 * @since 0.2
 */
public interface PieceHost {
    /** Takes pieces that a peer asks to have made. */
    void workCame(String boxId, long correlation, StageWork work);

    /** Takes back pieces that a peer no longer wants. */
    void withdrawn(String boxId, long correlation);

    /** Takes what became of a piece that this gateway asked for. */
    void resultCame(String boxId, long correlation, StageResult result);

    /** Gives up results of pieces that this gateway had made for a peer. */
    void freed(StageFreed freed);

    /** The link to a peer is gone, and with it what was asked for over it. */
    void unlinked(String boxId);
}
