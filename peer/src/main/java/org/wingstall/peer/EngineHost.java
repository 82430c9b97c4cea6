package org.wingstall.peer;

import org.wingstall.schema.peer.EngineAsk;
import org.wingstall.schema.peer.EngineChoice;
import org.wingstall.schema.peer.EngineOutcome;

/**
 * What a gateway does with what peers say about engines; called on the mesh's event loop.
 *
 * <p>{@code mesh.attach(host);}
 *
 * @since 0.4
 */
public interface EngineHost {
    /** A peer asks this box to choose an engine. */
    void asked(String boxId, long correlation, EngineAsk ask);

    /** A peer has chosen an engine for this box. */
    void chosen(String boxId, long correlation, EngineChoice choice);

    /** A peer tells what became of a request at an engine that this box chose. */
    void ended(String boxId, EngineOutcome outcome);
}
