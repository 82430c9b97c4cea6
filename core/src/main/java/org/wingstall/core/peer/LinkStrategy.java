package org.wingstall.core.peer;

import java.util.Collection;
import java.util.Set;
import org.wingstall.core.peer.LinkPlan.Box;

/**
 * Says which links a gateway opens, and which boxes do work for others.
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
     * @param reachable boxes known and not found unreachable
     * @param known all boxes known
     * @return identifiers of the boxes, a set that the caller may change
     */
    Set<String> linksOf(Box self, Collection<Box> reachable, Collection<Box> known);

    /**
     * Returns the boxes that do work for others, such as gathering pieces; every box has a link to each of them.
     *
     * @param self the gateway
     * @param reachable boxes known and not found unreachable
     * @return identifiers of the boxes
     */
    Set<String> hubs(Box self, Collection<Box> reachable);
}
