package org.wingstall.relay.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.wingstall.core.peer.Rendezvous;

/**
 * Lets one box of each failure domain read, chosen by rendezvous hashing among those that do work for others; every box that
 * hears no reader at all reads for itself.
 *
 * <p>{@code new OneReaderPerDomain("kgn-a-1", peers, mesh::carries).mine()}
 *
 * @since 0.3
 */
public final class OneReaderPerDomain implements ReadingDuty {
    private final String self;
    private final Supplier<List<Peer>> heard;
    private final Predicate<String> carries;

    /**
     * A peer that is heard and not stopping.
     *
     * @param boxId its box
     * @param ownDomain whether it stands in this box's failure domain
     * @param reads whether it says that it has read the list lately
     * @param unanswered whether it says that the store does not answer it
     */
    public record Peer(String boxId, boolean ownDomain, boolean reads, boolean unanswered) {}

    /**
     * Creates the choice.
     *
     * @param self this box
     * @param heard peers that are heard and not stopping
     * @param carries whether a box does work for others
     */
    public OneReaderPerDomain(String self, Supplier<List<Peer>> heard, Predicate<String> carries) {
        this.self = self;
        this.heard = heard;
        this.carries = carries;
    }

    @Override
    public boolean mine() {
        List<Peer> peers = heard.get();
        if (peers.stream().noneMatch(Peer::reads)) {
            return true;
        }
        if (!carries.test(self)) {
            return false;
        }
        List<String> candidates = new ArrayList<>();
        candidates.add(self);
        peers.stream()
                .filter(peer -> peer.ownDomain() && !peer.unanswered() && carries.test(peer.boxId()))
                .forEach(peer -> candidates.add(peer.boxId()));
        return Rendezvous.top("endpoint-list", candidates, 1).get(0).equals(self);
    }
}
