package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.wingstall.core.peer.Rendezvous;

/**
 * Chooses the gathering box of a service by rendezvous hashing over the boxes that are heard; boxes with other views may
 * choose others for a while, which costs fuller calls and nothing else.
 *
 * <p>{@code new RendezvousGathering("kgn-a-1", () -> peers.serving(), mesh::linked)}
 *
 * @since 0.2
 */
public final class RendezvousGathering implements PieceGathering {
    private final String self;
    private final Supplier<List<String>> heard;
    private final Predicate<String> linked;
    private final Predicate<String> carries;

    /**
     * Creates the choice.
     *
     * @param self this box
     * @param heard other boxes that are heard and not stopping
     * @param linked whether there is a link to a box
     * @param carries whether a box does work for others
     */
    public RendezvousGathering(
            String self, Supplier<List<String>> heard, Predicate<String> linked, Predicate<String> carries) {
        this.self = self;
        this.heard = heard;
        this.linked = linked;
        this.carries = carries;
    }

    @Override
    public String gathererOf(String service) {
        List<String> boxes = new ArrayList<>(heard.get());
        boxes.removeIf(box -> !linked.test(box));
        boxes.add(self);
        List<String> carriers = boxes.stream().filter(carries).toList();
        boxes = carriers.isEmpty() ? List.of(self) : carriers;
        String chosen = Rendezvous.top("pieces:" + service, boxes, 1).get(0);
        return chosen.equals(self) ? null : chosen;
    }
}
