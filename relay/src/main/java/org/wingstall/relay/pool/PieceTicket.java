package org.wingstall.relay.pool;

import org.wingstall.relay.wire.Piece;

/** A piece that waits for its turn or is at work. */
final class PieceTicket {
    private final Piece piece;
    private final int rank;
    private final long targetAtMs;
    private final long dueAtMs;
    private final PieceOwner owner;
    private int calls;
    private boolean withdrawn;

    /** Told what became of a piece; on the request loop. */
    @FunctionalInterface
    interface PieceOwner {
        void done(PieceTicket ticket, MadePiece made);
    }

    PieceTicket(Piece piece, int rank, long targetAtMs, long dueAtMs, PieceOwner owner) {
        this.piece = piece;
        this.rank = rank;
        this.targetAtMs = targetAtMs;
        this.dueAtMs = dueAtMs;
        this.owner = owner;
    }

    Piece piece() {
        return piece;
    }

    int rank() {
        return rank;
    }

    /** Returns when the request's answer is wanted, in ms of the monotonic clock. */
    long targetAtMs() {
        return targetAtMs;
    }

    /** Returns when the request's time is over, in ms of the monotonic clock. */
    long dueAtMs() {
        return dueAtMs;
    }

    int calls() {
        return calls;
    }

    void called() {
        calls++;
    }

    /** Takes the piece back; one that is at work already is finished, and its result given up. */
    void withdraw() {
        withdrawn = true;
    }

    boolean withdrawn() {
        return withdrawn;
    }

    void done(MadePiece made) {
        owner.done(this, made);
    }
}
