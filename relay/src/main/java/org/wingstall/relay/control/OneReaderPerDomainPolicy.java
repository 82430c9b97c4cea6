package org.wingstall.relay.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.wingstall.core.peer.RendezvousHash;

/**
 * Lets one box of each failure domain read, chosen by rendezvous hashing among those that do work for others; every box that
 * hears no reader at all reads for itself.
 *
 * <p>{@code new OneReaderPerDomainPolicy("kgn-a-1", peers, mesh::carries).mine()}
 *
 * @since 0.3
 */
public final class OneReaderPerDomainPolicy implements ReadPolicy {
    private final String self;
    private final Supplier<List<Peer>> reachablePeers;
    private final Predicate<String> isHub;

    /**
     * A peer that is heard and not stopping.
     *
     * @param boxId its box
     * @param ownDomain whether it stands in this box's failure domain
     * @param reads whether it says that it has read the list lately
     * @param unanswered whether it says that the store does not answer it
     */
    public record Peer(String boxId, boolean sameDomain, boolean readRecently, boolean storeUnavailable) {}

    /**
     * Creates the choice.
     *
     * @param self this box
     * @param heard peers that are heard and not stopping
     * @param carries whether a box does work for others
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
