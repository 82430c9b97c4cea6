package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wingstall.core.member.Addresses;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.peer.PieceLinks;
import org.wingstall.relay.wire.Piece;
import org.wingstall.relay.wire.PieceResult;
import org.wingstall.schema.peer.StagePiece;
import org.wingstall.schema.peer.StageResult;
import org.wingstall.schema.peer.StageWork;

/**
 * The pieces that this box asked others to have made. When the box that gathers them is lost they are submitted again: a
 * piece may be made twice. Confined to the request loop.
 */
final class AskedPieces {
    private final PieceLinks links;
    private final MonotonicClock clock;
    private final Resubmit resubmit;
    private final Map<Long, Asked> asked = new HashMap<>();
    private long nextCorrelation = 1;

    /** Takes pieces whose gathering box was lost. */
    @FunctionalInterface
    interface Resubmit {
        void again(String service, List<PieceTicket> tickets);
    }

    private static final class Asked {
        private final String boxId;
        private final String service;
        private final PieceTicket[] tickets;
        private int left;

        Asked(String boxId, String service, List<PieceTicket> tickets) {
            this.boxId = boxId;
            this.service = service;
            this.tickets = tickets.toArray(new PieceTicket[0]);
            this.left = tickets.size();
        }

        List<PieceTicket> unfinished() {
            List<PieceTicket> unfinished = new ArrayList<>();
            for (PieceTicket ticket : tickets) {
                if (ticket != null && !ticket.withdrawn()) {
                    unfinished.add(ticket);
                }
            }
            return unfinished;
        }

        boolean withdrawn() {
            for (PieceTicket ticket : tickets) {
                if (ticket != null && !ticket.withdrawn()) {
                    return false;
                }
            }
            return true;
        }
    }

    AskedPieces(PieceLinks links, MonotonicClock clock, Resubmit resubmit) {
        this.links = links;
        this.clock = clock;
        this.resubmit = resubmit;
    }

    /** Asks a box for pieces; returns whether there is a link to it. */
    boolean ask(String boxId, String service, List<PieceTicket> tickets) {
        long correlation = nextCorrelation++;
        List<StagePiece> pieces = tickets.stream().map(this::encode).toList();
        if (!links.askFor(boxId, correlation, new StageWork(service, pieces))) {
            return false;
        }
        asked.put(correlation, new Asked(boxId, service, tickets));
        return true;
    }

    private StagePiece encode(PieceTicket ticket) {
        Piece piece = ticket.piece();
        long nowMs = clock.nowMs();
        return new StagePiece(
                piece.requestId(),
                piece.stage(),
                piece.index(),
                piece.key(),
                piece.inputs(),
                ticket.urgency().rank(),
                Math.max(0, ticket.urgency().dueAtMs() - nowMs),
                Math.max(0, ticket.urgency().targetAtMs() - nowMs),
                ticket.placement().resultBytes(),
                ticket.placement().nearDomain(),
                ticket.placement().awayBytes(),
                piece.origin());
    }

    void resultCame(String boxId, long correlation, StageResult result) {
        Asked work = asked.get(correlation);
        boolean expected = work != null && work.boxId.equals(boxId) && result.getPlace() < work.tickets.length;
        if (!expected || work.tickets[result.getPlace()] == null) {
            return;
        }
        PieceTicket ticket = work.tickets[result.getPlace()];
        work.tickets[result.getPlace()] = null;
        work.left--;
        if (work.left == 0) {
            asked.remove(correlation);
        }
        ticket.done(decode(result, boxId));
    }

    private static MadePiece decode(StageResult result, String gatherer) {
        if (result.getHandle() == null) {
            return MadePiece.failed(PieceResult.Failure.named(result.getFailure()), result.getAgainMs());
        }
        return MadePiece.made(PieceResult.of(result.getHandle()), Addresses.parse(result.getMaker()), gatherer);
    }

    /** Tells gathering boxes of the work that nobody here wants any more. */
    void tellWithdrawn() {
        asked.entrySet().removeIf(entry -> {
            boolean unwanted = entry.getValue().withdrawn();
            if (unwanted) {
                links.withdraw(entry.getValue().boxId, entry.getKey());
            }
            return unwanted;
        });
    }

    /**
     * Submits what a box was asked for again, because it is lost or silent. Should it hear again later, it is told that
     * nobody wants that work any more.
     */
    void lost(String boxId) {
        List<Asked> lost = new ArrayList<>();
        asked.entrySet().removeIf(entry -> {
            boolean there = entry.getValue().boxId.equals(boxId) && lost.add(entry.getValue());
            if (there) {
                links.withdraw(boxId, entry.getKey());
            }
            return there;
        });
        for (Asked work : lost) {
            List<PieceTicket> unfinished = work.unfinished();
            if (!unfinished.isEmpty()) {
                resubmit.again(work.service, unfinished);
            }
        }
    }

    /** Returns the boxes that pieces are expected from. */
    List<String> boxes() {
        return asked.values().stream().map(work -> work.boxId).distinct().toList();
    }
}
