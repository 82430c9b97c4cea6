package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.wingstall.core.peer.RendezvousHash;

/**
 * Selects the coordinator of a service by rendezvous hashing over the reachable hubs, and among them over those that
 * reach the endpoints of the service. Boxes with different views may select different coordinators for a while; the
 * only cost is that calls carry fewer pieces.
 *
 * <p>{@code new RendezvousCoordinatorSelector("kgn-a-1", () -> peers.serving(), mesh::linked, mesh::carries, reaches)}
 *
 * @since 0.2
 */
public final class RendezvousCoordinatorSelector implements CoordinatorSelector {
    private final String self;
    private final Supplier<List<String>> reachable;
    private final Predicate<String> linked;
    private final Predicate<String> isHub;
    private final BiPredicate<String, String> reaches;

    /**
     * Creates a selector.
     *
     * @param self this box
     * @param reachable other boxes that are reachable and not stopping
     * @param linked whether there is a link to a box
     * @param eligible whether a box is a hub, which does work for other boxes
     * @param reaches whether a box, this one included, reaches the endpoints of a service
     */
    public RendezvousCoordinatorSelector(
            String self,
            Supplier<List<String>> reachable,
            Predicate<String> linked,
            Predicate<String> eligible,
            BiPredicate<String, String> reaches) {
        this.self = self;
        this.reachable = reachable;
        this.linked = linked;
        this.isHub = eligible;
        this.reaches = reaches;
    }

    @Override
    public String coordinatorOf(String service) {
        List<String> boxes = new ArrayList<>(reachable.get());
        boxes.removeIf(box -> !linked.test(box));
        boxes.add(self);
        List<String> hubs = boxes.stream().filter(isHub).toList();
        List<String> reaching =
                hubs.stream().filter(hub -> reaches(hub, service)).toList();
        // A service that no hub reaches has most likely failed, which is no reason to split its work.
        List<String> candidates = reaching.isEmpty() ? hubs : reaching;
        String chosen = candidates.isEmpty()
                ? self
                : RendezvousHash.top("pieces:" + service, candidates, 1).get(0);
        return chosen.equals(self) ? null : chosen;
    }

    @Override
    public boolean reaches(String boxId, String service) {
        return reaches.test(boxId, service);
    }
}
