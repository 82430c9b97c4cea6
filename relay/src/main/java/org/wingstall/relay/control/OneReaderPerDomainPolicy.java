package org.wingstall.relay.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.wingstall.core.peer.RendezvousHash;

/**
 * Lets one hub of each failure domain read, selected by rendezvous hashing; a box reads for itself if no reachable peer
 * has read recently.
 *
 * <p>{@code new OneReaderPerDomainPolicy("kgn-a-1", peers, mesh::isHub).shouldRead()}
 *
 * @since 0.3
 */
public final class OneReaderPerDomainPolicy implements ReadPolicy {
    private final String self;
    private final Supplier<List<Peer>> reachablePeers;
    private final Predicate<String> isHub;

    /**
     * A reachable peer that is not stopping.
     *
     * @param boxId its box
     * @param sameDomain whether it is in this box's failure domain
     * @param readRecently whether it reports that it has read the list recently
     * @param storeUnavailable whether it reports that the store does not answer it
     */
    public record Peer(String boxId, boolean sameDomain, boolean readRecently, boolean storeUnavailable) {}

    /**
     * Creates a policy.
     *
     * @param self this box
     * @param reachablePeers reachable peers that are not stopping
     * @param isHub whether a box is a hub
     */
    public OneReaderPerDomainPolicy(String self, Supplier<List<Peer>> reachablePeers, Predicate<String> isHub) {
        this.self = self;
        this.reachablePeers = reachablePeers;
        this.isHub = isHub;
    }

    @Override
    public boolean shouldRead() {
        List<Peer> peers = reachablePeers.get();
        if (peers.stream().noneMatch(Peer::readRecently)) {
            return true;
        }
        if (!isHub.test(self)) {
            return false;
        }
        List<String> candidates = new ArrayList<>();
        candidates.add(self);
        peers.stream()
                .filter(peer -> peer.sameDomain() && !peer.storeUnavailable() && isHub.test(peer.boxId()))
                .forEach(peer -> candidates.add(peer.boxId()));
        return RendezvousHash.top("endpoint-list", candidates, 1).get(0).equals(self);
    }
}
