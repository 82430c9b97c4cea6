package org.wingstall.core.peer;

import java.util.Collection;
import java.util.HashSet;
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

    /**
     * Returns links and hubs together; a strategy whose links depend on the hubs determines them once.
     *
     * @param self the gateway
     * @param reachable known boxes that have not been found unreachable
     * @param known all known boxes
     * @return the links, without the gateway itself, and the hubs
     */
    default Plan plan(Box self, Collection<Box> reachable, Collection<Box> known) {
        return Plan.of(self, linksOf(self, reachable, known), hubs(self, reachable));
    }

    /**
     * The links of a gateway and the hubs of its fleet.
     *
     * @param links identifiers of the boxes that the gateway opens links to
     * @param hubs identifiers of the hubs, which may include the gateway
     */
    record Plan(Set<String> links, Set<String> hubs) {
        static Plan of(Box self, Set<String> links, Set<String> hubs) {
            Set<String> others = new HashSet<>(links);
            others.remove(self.boxId());
            return new Plan(Set.copyOf(others), Set.copyOf(hubs));
        }
    }
}
