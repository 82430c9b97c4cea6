package org.wingstall.peer;

import org.wingstall.schema.peer.EngineAsk;
import org.wingstall.schema.peer.EngineChoice;
import org.wingstall.schema.peer.EngineOutcome;

/**
 * What gateways say to each other about engines; for use on the mesh's event loop.
 *
 * <p>{@code if (!links.ask("kgn-a-1", 7, ask)) { chooseHere(); }}
 *
 * @since 0.4
 */
public interface EngineLinks {
    /** Asks a peer to choose an engine; returns whether there is a link to it. */
    boolean ask(String boxId, long correlation, EngineAsk ask);

    /** Tells a peer which engine was chosen for it; returns whether there is a link to it. */
    boolean tellChoice(String boxId, long correlation, EngineChoice choice);

    /** Tells the box that chose what became of a request; returns whether there is a link to it. */
    boolean tellOutcome(String boxId, EngineOutcome outcome);
}
