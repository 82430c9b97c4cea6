package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.wingstall.core.peer.RendezvousHash;

/**
 * Chooses the gathering box of a service by rendezvous hashing over the boxes that are heard; boxes with other views may
 * choose others for a while, which costs fuller calls and nothing else.
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
     * Creates the choice.
     *
     * @param self this box
     * @param heard other boxes that are heard and not stopping
     * @param linked whether there is a link to a box
     * @param carries whether a box does work for others
     */
    public RendezvousCoordinatorSelector(
            String self, Supplier<List<String>> heard, Predicate<String> linked, Predicate<String> carries) {
        this.self = self;
        this.reachable = heard;
        this.linked = linked;
        this.isHub = carries;
    }

    @Override
    public String coordinatorOf(String service) {
        List<String> boxes = new ArrayList<>(reachable.get());
        boxes.removeIf(box -> !linked.test(box));
        boxes.add(self);
        List<String> carriers = boxes.stream().filter(isHub).toList();
        boxes = carriers.isEmpty() ? List.of(self) : carriers;
        String chosen = RendezvousHash.top("pieces:" + service, boxes, 1).get(0);
        return chosen.equals(self) ? null : chosen;
    }
}
