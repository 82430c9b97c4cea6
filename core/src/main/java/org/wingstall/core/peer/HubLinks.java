package org.wingstall.core.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.wingstall.core.peer.LinkPlan.Box;

/**
 * Links every box to the hubs of all failure domains, which are the few boxes with the most processor time in each
 * domain. A small fleet is a full mesh in which every box is a hub.
 *
 * <p>So a box keeps as many links as there are hubs, and the results of work that a hub does for others reach every box
 * over one link. {@code new HubLinks(24, 2).hubs(self, boxes)}
 *
 * @since 0.3
 */
public final class HubLinks implements LinkStrategy {
    private final int maxFullMeshBoxes;
    private final int hubsPerDomain;

    /**
     * Creates the strategy.
     *
     * @param maxFullMeshBoxes maximum number of boxes in a fleet that is linked as a full mesh
     * @param hubsPerDomain number of hubs per failure domain; at least two, so that one remains when another is lost
     */
    public HubLinks(int maxFullMeshBoxes, int hubsPerDomain) {
        this.maxFullMeshBoxes = maxFullMeshBoxes;
        this.hubsPerDomain = hubsPerDomain;
    }

    @Override
    public Set<String> linksOf(Box self, Collection<Box> reachable, Collection<Box> known) {
        Set<String> links = new HashSet<>(hubs(self, reachable));
        links.remove(self.boxId());
        return links;
    }

    @Override
    public Plan plan(Box self, Collection<Box> reachable, Collection<Box> known) {
        Set<String> hubs = hubs(self, reachable);
        return Plan.of(self, hubs, hubs);
    }

    @Override
    public Set<String> hubs(Box self, Collection<Box> reachable) {
        Map<String, List<Box>> boxesByDomain = Stream.concat(Stream.of(self), reachable.stream())
                .filter(distinctById())
                .collect(Collectors.groupingBy(Box::failureDomain, TreeMap::new, Collectors.toList()));
        int boxCount = boxesByDomain.values().stream().mapToInt(List::size).sum();
        int maxPerDomain = boxCount <= maxFullMeshBoxes ? boxCount : hubsPerDomain;
        return boxesByDomain.values().stream()
                .flatMap(domain -> domain.stream().sorted(BY_CAPACITY).limit(maxPerDomain))
                .map(Box::boxId)
                .collect(Collectors.toSet());
    }

    /** Total order that does not depend on the iteration order of the boxes, so that all boxes choose the same hubs. */
    private static final Comparator<Box> BY_CAPACITY =
            Comparator.comparingInt(Box::capacity).reversed().thenComparing(Box::boxId);

    private static Predicate<Box> distinctById() {
        Set<String> seen = new HashSet<>();
        return box -> seen.add(box.boxId());
    }
}
