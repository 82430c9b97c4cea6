package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.wingstall.core.peer.RendezvousHash;

/**
 * Selects the coordinator of a service by rendezvous hashing over the reachable hubs. Boxes with different views may
 * select different coordinators for a while; the only cost is that calls carry fewer pieces.
 *
 * <p>{@code new RendezvousCoordinatorSelector("kgn-a-1", () -> peers.serving(), mesh::linked)}
 *
 * @since 0.2
 */
public final class RendezvousCoordinatorSelector implements CoordinatorSelector {
    private final String self;
    private final Supplier<List<String>> reachable;
    private final Predicate<String> linked;
    private final Predicate<String> isHub;

    /**
     * Creates a selector.
     *
     * @param self this box
     * @param reachable other boxes that are reachable and not stopping
     * @param linked whether there is a link to a box
     * @param eligible whether a box is a hub, which does work for other boxes
     */
    public RendezvousCoordinatorSelector(
            String self, Supplier<List<String>> reachable, Predicate<String> linked, Predicate<String> eligible) {
        this.self = self;
        this.reachable = reachable;
        this.linked = linked;
        this.isHub = eligible;
    }

    @Override
    public String coordinatorOf(String service) {
        List<String> boxes = new ArrayList<>(reachable.get());
        boxes.removeIf(box -> !linked.test(box));
        boxes.add(self);
        List<String> eligibleBoxes = boxes.stream().filter(isHub).toList();
        boxes = eligibleBoxes.isEmpty() ? List.of(self) : eligibleBoxes;
        String chosen = RendezvousHash.top("pieces:" + service, boxes, 1).get(0);
        return chosen.equals(self) ? null : chosen;
    }
}
