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
final class PeerPieces {
    private final PieceLinks links;
    private final MonotonicClock clock;
    private final StagePools pools;
    private final Map<String, Map<Long, List<PieceTask>>> byBox = new HashMap<>();

    PeerPieces(PieceLinks links, MonotonicClock clock, StagePools pools) {
        this.links = links;
        this.clock = clock;
        this.pools = pools;
    }

    void workReceived(String boxId, long correlation, StageWork work) {
        List<PieceTask> tickets = new ArrayList<>();
        for (StagePiece piece : work.getPieces()) {
            int place = tickets.size();
            tickets.add(decode(piece, (ticket, made) -> completed(boxId, correlation, place, made)));
        }
        byBox.computeIfAbsent(boxId, box -> new HashMap<>()).put(correlation, tickets);
        pools.pool(work.getService()).submit(tickets);
    }

    private PieceTask decode(StagePiece piece, PieceTask.CompletionListener owner) {
        long nowMs = clock.nowMs();
        return new PieceTask(
                new Piece(
                        piece.getRequestId(),
                        piece.getStage(),
                        piece.getIndex(),
                        piece.getKey(),
                        piece.getInputs(),
                        piece.getOrigin()),
                new Urgency(piece.getRank(), nowMs + piece.getTargetMs(), nowMs + piece.getRemainingMs()),
                new PieceTask.Placement(piece.getNearDomain(), piece.getResultBytes(), piece.getAwayBytes()),
                owner);
    }

    private void completed(String boxId, long correlation, int place, PieceOutcome made) {
        List<PieceTask> tickets = byBox.getOrDefault(boxId, Map.of()).get(correlation);
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

    private static StageResult encode(int place, PieceOutcome made) {
        if (!made.result().success()) {
            return new StageResult(place, null, null, made.result().failure().name(), made.retryAfterMs());
        }
        String maker = Addresses.format(made.endpointAddress());
        return new StageResult(place, made.result().handle(), maker, null, 0);
    }

    void withdrawn(String boxId, long correlation) {
        withdraw(byBox.getOrDefault(boxId, Map.of()).remove(correlation));
    }

    void unlinked(String boxId) {
        Map<Long, List<PieceTask>> lost = byBox.remove(boxId);
        if (lost != null) {
            lost.values().forEach(PeerPieces::withdraw);
        }
    }

    private static void withdraw(List<PieceTask> tickets) {
        if (tickets == null) {
            return;
        }
        for (PieceTask ticket : tickets) {
            if (ticket != null) {
                ticket.withdraw();
            }
        }
    }
}
