package org.wingstall.peer;

import java.util.List;
import org.wingstall.schema.peer.CrashNews;

/**
 * What a gateway does with what peers say about requests that crash endpoints; called on the mesh's event loop.
 *
 * <p>{@code mesh.crashes().attach(host);}
 *
 * @since 0.7
 */
public interface CrashHost {
    /** A peer tells what it has learned. */
    void heard(String boxId, CrashNews news);

    /** Returns all that a peer which has just been linked needs. */
    List<CrashNews> known();
}
