package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wingstall.core.member.Addresses;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.peer.PieceLinks;
import org.wingstall.relay.wire.Piece;
import org.wingstall.schema.peer.StagePiece;
import org.wingstall.schema.peer.StageResult;
import org.wingstall.schema.peer.StageWork;

/** The pieces that this box has made for others, in the same pools as its own. Confined to the request loop. */
final class GatheredPieces {
    private final PieceLinks links;
    private final MonotonicClock clock;
    private final StagePools pools;
    private final Map<String, Map<Long, List<PieceTicket>>> byBox = new HashMap<>();

    GatheredPieces(PieceLinks links, MonotonicClock clock, StagePools pools) {
        this.links = links;
        this.clock = clock;
        this.pools = pools;
    }

    void workCame(String boxId, long correlation, StageWork work) {
        List<PieceTicket> tickets = new ArrayList<>();
        for (StagePiece piece : work.getPieces()) {
            int place = tickets.size();
            tickets.add(decode(piece, (ticket, made) -> ended(boxId, correlation, place, made)));
        }
        byBox.computeIfAbsent(boxId, box -> new HashMap<>()).put(correlation, tickets);
        pools.of(work.getService()).submit(tickets);
    }

    private PieceTicket decode(StagePiece piece, PieceTicket.PieceOwner owner) {
        long nowMs = clock.nowMs();
        return new PieceTicket(
                new Piece(
                        piece.getRequestId(),
                        piece.getStage(),
                        piece.getIndex(),
                        piece.getKey(),
                        piece.getInputs(),
                        piece.getOrigin()),
                new Urgency(piece.getRank(), nowMs + piece.getTargetMs(), nowMs + piece.getRemainingMs()),
                new PieceTicket.Placement(piece.getNearDomain(), piece.getResultBytes(), piece.getAwayBytes()),
                owner);
    }

    private void ended(String boxId, long correlation, int place, MadePiece made) {
        List<PieceTicket> tickets = byBox.getOrDefault(boxId, Map.of()).get(correlation);
        boolean wanted = tickets != null && links.tellResult(boxId, correlation, encode(place, made));
        if (!wanted) {
            pools.freer().free(made);
            return;
        }
        tickets.set(place, null);
        if (tickets.stream().allMatch(ticket -> ticket == null)) {
            byBox.get(boxId).remove(correlation);
        }
    }

    private static StageResult encode(int place, MadePiece made) {
        if (!made.result().made()) {
            return new StageResult(place, null, null, made.result().failure().name(), made.againMs());
        }
        String maker = Addresses.format(made.maker());
        return new StageResult(place, made.result().handle(), maker, null, 0);
    }

    void withdrawn(String boxId, long correlation) {
        withdraw(byBox.getOrDefault(boxId, Map.of()).remove(correlation));
    }

    void unlinked(String boxId) {
        Map<Long, List<PieceTicket>> lost = byBox.remove(boxId);
        if (lost != null) {
            lost.values().forEach(GatheredPieces::withdraw);
        }
    }

    private static void withdraw(List<PieceTicket> tickets) {
        if (tickets == null) {
            return;
        }
        for (PieceTicket ticket : tickets) {
            if (ticket != null) {
                ticket.withdraw();
            }
        }
    }
}
