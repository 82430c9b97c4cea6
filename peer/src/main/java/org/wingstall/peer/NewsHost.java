package org.wingstall.peer;

import java.util.List;

/**
 * What a gateway does with what peers say about one subject; called on the mesh's event loop.
 *
 * <p>{@code mesh.crashes().attach(host);}
 *
 * @param <N> what is told
 * @since 0.9
 */
public interface NewsHost<N> {
    /** A peer tells what it has learned. */
    void heard(String boxId, N news);

    /** Returns all that a peer which has just been linked needs. */
    List<N> known();

    /**
     * Returns what is sent at once to a peer that has just been linked.
     *
     * @param boxId the peer
     * @param dialedHere whether this box opened the connection
     */
    default List<N> linked(String boxId, boolean dialedHere) {
        return known();
    }
}
