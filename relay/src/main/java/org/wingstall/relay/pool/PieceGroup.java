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
    /** Time for which a group waits for an endpoint near its inputs or reader, in ms; less than a call. */
    private static final long NEAR_ONLY_MS = 120;

    /** Time left until the pieces have to begin below which any endpoint will do, in ms; about a call. */
    private static final long HURRY_MS = 200;

    private final List<PieceTicket> waiting;
    private final long sinceMs;
    private final Urgency urgency;
    private final PieceTicket.Placement placement;

    PieceGroup(List<PieceTicket> tickets, long sinceMs) {
        this.sinceMs = sinceMs;
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

    /** Returns whether an endpoint of the failure domain may take the group now. */
    boolean mayGoTo(String failureDomain, long nowMs) {
        String near = placement.nearDomain();
        boolean hurries = urgency.targetAtMs() - nowMs < HURRY_MS;
        return near.isEmpty() || near.equals(failureDomain) || hurries || nowMs - sinceMs >= NEAR_ONLY_MS;
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
