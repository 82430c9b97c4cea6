package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * The pieces of one stage of one request that wait together; they read the same results.
 *
 * <p>{@code group.urgency().targetAtMs()}
 *
 * @since 0.2
 */
public final class PieceGroup {
    private final List<PieceTicket> waiting;
    private final Urgency urgency;
    private final PieceTicket.Placement placement;

    PieceGroup(List<PieceTicket> tickets) {
        this.waiting = new ArrayList<>(tickets);
        this.urgency = tickets.get(0).urgency();
        this.placement = tickets.get(0).placement();
    }

    Urgency urgency() {
        return urgency;
    }

    PieceTicket.Placement placement() {
        return placement;
    }

    /** Returns the pieces that still wait, without those that were withdrawn. */
    int size() {
        waiting.removeIf(PieceTicket::withdrawn);
        return waiting.size();
    }

    /** Removes and returns so many pieces at most. */
    List<PieceTicket> take(int most) {
        List<PieceTicket> first = waiting.subList(0, Math.min(most, waiting.size()));
        List<PieceTicket> taken = List.copyOf(first);
        first.clear();
        return taken;
    }
}
