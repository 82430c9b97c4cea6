package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;
import org.wingstall.relay.wire.Piece;

/** Creates groups of pieces for tests. */
final class PieceGroups {
    private static final long MB = 1_000_000;

    private PieceGroups() {}

    static PieceGroup suspected(int rank, long targetAtMs, int pieces) {
        return group(rank, targetAtMs, pieces, 1, "", true);
    }

    static PieceGroup group(int rank, long targetAtMs, int pieces, long resultBytes, String nearDomain) {
        return group(rank, targetAtMs, pieces, resultBytes, nearDomain, false);
    }

    private static PieceGroup group(
            int rank, long targetAtMs, int pieces, long resultBytes, String nearDomain, boolean apart) {
        Urgency urgency = new Urgency(rank, targetAtMs, 9000);
        List<PieceTask> tickets = new ArrayList<>();
        for (int i = 0; i < pieces; i++) {
            Piece piece = new Piece("request", 0, i, "key", List.of(), "key");
            tickets.add(new PieceTask(
                    piece, urgency, new PieceTask.Placement(nearDomain, resultBytes, MB), (ticket, made) -> {}));
        }
        return new PieceGroup(tickets, 0, 0, apart);
    }

    static PieceGroup group(int rank, long targetAtMs, int pieces) {
        return group(rank, targetAtMs, pieces, 1, "");
    }
}
