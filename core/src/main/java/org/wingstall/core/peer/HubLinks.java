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
 * Links every box to the hubs of all failure domains: in each the few boxes with the most processor time. A small fleet is
 * linked whole, and each of its boxes carries work for others.
 *
 * <p>So a box keeps as many links as there are hubs, and whatever one box does for all reaches every other box over one
 * link. {@code new HubLinks(24, 2).carriers(self, boxes)}
 *
 * @since 0.3
 */
public final class HubLinks implements LinkStrategy {
    private final int maxFullMeshBoxes;
    private final int hubsPerDomain;

    /**
     * Creates the strategy.
     *
     * @param wholeMeshBoxes most boxes of a fleet that is linked whole
     * @param hubsPerDomain hubs of a failure domain; two or more, so that the loss of one leaves another
     */
    public HubLinks(int wholeMeshBoxes, int hubsPerDomain) {
        this.maxFullMeshBoxes = wholeMeshBoxes;
        this.hubsPerDomain = hubsPerDomain;
    }

    @Override
    public Set<String> linksOf(Box self, Collection<Box> reachable, Collection<Box> known) {
        Set<String> links = new HashSet<>(hubs(self, reachable));
        links.remove(self.boxId());
        return links;
    }

    @Override
    public Set<String> hubs(Box self, Collection<Box> reachable) {
        Map<String, List<Box>> domains = Stream.concat(Stream.of(self), reachable.stream())
                .filter(distinctById())
                .collect(Collectors.groupingBy(Box::failureDomain, TreeMap::new, Collectors.toList()));
        int boxCount = domains.values().stream().mapToInt(List::size).sum();
        int maxPerDomain = boxCount <= maxFullMeshBoxes ? boxCount : hubsPerDomain;
        return domains.values().stream()
                .flatMap(domain -> domain.stream().sorted(BY_CAPACITY).limit(maxPerDomain))
                .map(Box::boxId)
                .collect(Collectors.toSet());
    }

    /** All boxes come to the same order, whatever the order in which they know each other. */
    private static final Comparator<Box> BY_CAPACITY =
            Comparator.comparingInt(Box::capacity).reversed().thenComparing(Box::boxId);

    private static Predicate<Box> distinctById() {
        Set<String> seen = new HashSet<>();
        return box -> seen.add(box.boxId());
    }
}
