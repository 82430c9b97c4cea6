package org.wingstall.relay.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.wingstall.core.peer.LinkPlan.Box;
import org.wingstall.core.peer.RendezvousHash;

/**
 * Chooses holders by rendezvous hashing: some in the box's own failure domain, where callers most often come back, and
 * one in each of some others, for the loss of the domain.
 *
 * <p>{@code new DomainOriginHolders("kgn-a", this::linkedHubs, this::allLinked, new Spread(2, 2))}
 *
 * @since 0.16
 */
public final class DomainOriginHolders implements OriginHolders {
    private final String failureDomain;
    private final Supplier<Collection<Box>> reachableBoxes;
    private final Supplier<Boolean> allReachable;
    private final Spread spread;

    /**
     * How many boxes hold an origin, besides the one that began the stream.
     *
     * @param inOwnDomain boxes of its failure domain
     * @param otherDomains other failure domains, of which one box each holds it
     */
    public record Spread(int inOwnDomain, int otherDomains) {
        /** Survives the loss of two boxes of the domain, or of the whole domain and a box elsewhere. */
        public static final Spread STANDARD = new Spread(2, 2);
    }

    /**
     * Creates a choice.
     *
     * @param failureDomain failure domain of this box
     * @param reachableBoxes boxes that do work for others and can be reached, without this one
     * @param allReachable whether these are all boxes that do work for others
     * @param spread number of holders
     */
    public DomainOriginHolders(
            String failureDomain,
            Supplier<Collection<Box>> reachableBoxes,
            Supplier<Boolean> allReachable,
            Spread spread) {
        this.failureDomain = failureDomain;
        this.reachableBoxes = reachableBoxes;
        this.allReachable = allReachable;
        this.spread = spread;
    }

    @Override
    public List<String> holdersOf(String streamId) {
        Map<String, List<String>> boxesByDomain = reachableBoxes.get().stream()
                .collect(Collectors.groupingBy(
                        Box::failureDomain, TreeMap::new, Collectors.mapping(Box::boxId, Collectors.toList())));
        List<String> own = boxesByDomain.remove(failureDomain);
        List<String> holders =
                new ArrayList<>(RendezvousHash.top(streamId, own == null ? List.of() : own, spread.inOwnDomain()));
        for (String domain : RendezvousHash.top(streamId, boxesByDomain.keySet(), spread.otherDomains())) {
            holders.addAll(RendezvousHash.top(streamId, boxesByDomain.get(domain), 1));
        }
        return holders;
    }

    @Override
    public List<String> reachable() {
        return reachableBoxes.get().stream().map(Box::boxId).toList();
    }

    @Override
    public boolean allReachable() {
        return allReachable.get();
    }
}
