package org.wingstall.peer;

import org.wingstall.schema.peer.StreamOrigin;

/**
 * What gateways say to each other about the origins of streams; for use on the mesh's event loop.
 *
 * <p>{@code links.ask("kgn-a-1", 7, "c287ed77");}
 *
 * @since 0.16
 */
public interface StreamOriginLinks {
    /** Tells a peer which software version began a stream; returns whether there is a link to it. */
    boolean tell(String boxId, StreamOrigin origin);

    /** Asks a peer for the origin of a stream; returns whether there is a link to it. */
    boolean ask(String boxId, long correlation, String streamId);

    /**
     * Returns whether there are links to all boxes that may be asked, but for those that count as gone. A box that has just
     * started has none to boxes that it has not read of or not reached yet.
     */
    boolean complete();
}
