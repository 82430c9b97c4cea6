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
final class DelegatedPieces {
    private final PieceLinks links;
    private final MonotonicClock clock;
    private final Resubmitter resubmitter;
    private final Map<Long, Delegation> delegations = new HashMap<>();
    private long nextCorrelation = 1;

    /** Takes pieces whose gathering box was lost. */
    @FunctionalInterface
    interface Resubmitter {
        void resubmit(String service, List<PieceTask> tickets);
    }

    private static final class Delegation {
        private final String boxId;
        private final String service;
        private final PieceTask[] tickets;
        private int remaining;

        Delegation(String boxId, String service, List<PieceTask> tickets) {
            this.boxId = boxId;
            this.service = service;
            this.tickets = tickets.toArray(new PieceTask[0]);
            this.remaining = tickets.size();
        }

        List<PieceTask> unfinished() {
            List<PieceTask> unfinished = new ArrayList<>();
            for (PieceTask ticket : tickets) {
                if (ticket != null && !ticket.withdrawn()) {
                    unfinished.add(ticket);
                }
            }
            return unfinished;
        }

        boolean withdrawn() {
            for (PieceTask ticket : tickets) {
                if (ticket != null && !ticket.withdrawn()) {
                    return false;
                }
            }
            return true;
        }
    }

    DelegatedPieces(PieceLinks links, MonotonicClock clock, Resubmitter resubmit) {
        this.links = links;
        this.clock = clock;
        this.resubmitter = resubmit;
    }

    /** Asks a box for pieces; returns whether there is a link to it. */
    boolean delegate(String boxId, String service, List<PieceTask> tickets) {
        long correlation = nextCorrelation++;
        List<StagePiece> pieces = tickets.stream().map(this::encode).toList();
        if (!links.askFor(boxId, correlation, new StageWork(service, pieces))) {
            return false;
        }
        delegations.put(correlation, new Delegation(boxId, service, tickets));
        return true;
    }

    private StagePiece encode(PieceTask ticket) {
        Piece piece = ticket.piece();
        long nowMs = clock.nowMs();
        return new StagePiece(
                piece.requestId(),
                piece.stage(),
                piece.index(),
                piece.key(),
                piece.inputs(),
                ticket.urgency().rank(),
                Math.max(0, ticket.urgency().deadlineAtMs() - nowMs),
                Math.max(0, ticket.urgency().targetAtMs() - nowMs),
                ticket.placement().resultBytes(),
                ticket.placement().nearDomain(),
                ticket.placement().crossDomainBytes(),
                piece.origin());
    }

    void resultReceived(String boxId, long correlation, StageResult result) {
        Delegation work = delegations.get(correlation);
        boolean expected = work != null && work.boxId.equals(boxId) && result.getPlace() < work.tickets.length;
        if (!expected || work.tickets[result.getPlace()] == null) {
            return;
        }
        PieceTask ticket = work.tickets[result.getPlace()];
        work.tickets[result.getPlace()] = null;
        work.remaining--;
        if (work.remaining == 0) {
            delegations.remove(correlation);
        }
        ticket.complete(decode(result, boxId));
    }

    private static PieceOutcome decode(StageResult result, String gatherer) {
        if (result.getHandle() == null) {
            return PieceOutcome.failed(PieceResult.Failure.fromName(result.getFailure()), result.getAgainMs());
        }
        return PieceOutcome.success(PieceResult.of(result.getHandle()), Addresses.parse(result.getMaker()), gatherer);
    }

    /** Tells gathering boxes of the work that nobody here wants any more. */
    void announceWithdrawn() {
        delegations.entrySet().removeIf(entry -> {
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
    void boxLost(String boxId) {
        List<Delegation> lost = new ArrayList<>();
        delegations.entrySet().removeIf(entry -> {
            boolean there = entry.getValue().boxId.equals(boxId) && lost.add(entry.getValue());
            if (there) {
                links.withdraw(boxId, entry.getKey());
            }
            return there;
        });
        for (Delegation work : lost) {
            List<PieceTask> unfinished = work.unfinished();
            if (!unfinished.isEmpty()) {
                resubmitter.resubmit(work.service, unfinished);
            }
        }
    }

    /** Returns the boxes that pieces are expected from. */
    List<String> boxes() {
        return delegations.values().stream().map(work -> work.boxId).distinct().toList();
    }
}
