package org.wingstall.peer;

import java.util.Optional;
import org.wingstall.schema.peer.StreamOrigin;

/**
 * What a gateway does with what peers say about the origins of streams; called on the mesh's event loop.
 *
 * <p>{@code mesh.streamOrigins().attach(host);}
 *
 * @since 0.16
 */
public interface StreamOriginHost {
    /** A link to a peer has opened, which may have started just now or have been cut off. */
    void linked(String boxId);

    /** A peer tells which software version began a stream. */
    void told(StreamOrigin origin);

    /** Returns what this box knows of a stream that a peer asks for. */
    Optional<StreamOrigin> asked(String streamId);

    /** A peer replied to a question; empty when it does not know the stream. */
    void replied(String boxId, long correlation, Optional<StreamOrigin> origin);
}
