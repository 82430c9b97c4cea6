package org.wingstall.core.peer;

import java.util.Collection;
import java.util.Set;
import org.wingstall.core.peer.LinkPlan.Box;

/**
 * Determines which links a gateway opens and which boxes are hubs.
 *
 * <p>{@code LinkStrategy strategy = new HubLinks(24, 2);}
 *
 * @since 0.3
 */
public interface LinkStrategy {
    /**
     * Returns the boxes that a gateway opens links to.
     *
     * @param self the gateway
     * @param reachable known boxes that have not been found unreachable
     * @param known all known boxes
     * @return box identifiers, in a set that the caller may modify
     */
    Set<String> linksOf(Box self, Collection<Box> reachable, Collection<Box> known);

    /**
     * Returns the hubs: boxes that do work for others, such as gathering pieces. Every box has a link to each hub.
     *
     * @param self the gateway
     * @param reachable known boxes that have not been found unreachable
     * @return box identifiers
     */
    Set<String> hubs(Box self, Collection<Box> reachable);
}
