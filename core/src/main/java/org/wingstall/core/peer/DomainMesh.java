package org.wingstall.core.peer;

import java.util.Collection;
import java.util.Set;
import org.wingstall.core.peer.LinkPlan.Box;

/**
 * Links all boxes within a failure domain, reachable or not, and a few boxes of every pair of domains.
 *
 * <p>{@code new DomainMesh().linksOf(self, reachable, known)}
 *
 * @since 0.3
 */
public final class DomainMesh implements LinkStrategy {
    @Override
    public Set<String> linksOf(Box self, Collection<Box> reachable, Collection<Box> known) {
        Set<String> links = LinkPlan.linksOf(self, reachable);
        known.stream()
                .filter(box -> box.failureDomain().equals(self.failureDomain()))
                .forEach(box -> links.add(box.boxId()));
        return links;
    }

    /** Returns no hubs: boxes of different domains are linked only in part, so no box has a link to every other one. */
    @Override
    public Set<String> hubs(Box self, Collection<Box> reachable) {
        return Set.of();
    }
}
