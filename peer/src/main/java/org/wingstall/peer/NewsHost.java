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
}
