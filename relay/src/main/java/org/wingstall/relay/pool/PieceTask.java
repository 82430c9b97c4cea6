package org.wingstall.relay.pool;

import org.wingstall.relay.wire.Piece;

/** A piece that waits for its turn or is at work. */
final class PieceTask {
    private final Piece piece;
    private final Urgency urgency;
    private final Placement placement;
    private final CompletionListener listener;
    private int calls;
    private boolean withdrawn;

    /** Told what became of a piece; on the request loop. */
    @FunctionalInterface
    interface CompletionListener {
        void completed(PieceTask ticket, PieceOutcome made);
    }

    /**
     * Where a piece is best made, and what it leaves there.
     *
     * @param nearDomain failure domain of its inputs or of its reader; empty when it does not matter
     * @param resultBytes approximate size of its result
     * @param awayBytes what goes between failure domains when it is made in another one
     */
    record Placement(String nearDomain, long resultBytes, long crossDomainBytes) {}

    PieceTask(Piece piece, Urgency urgency, Placement placement, CompletionListener owner) {
        this.piece = piece;
        this.urgency = urgency;
        this.placement = placement;
        this.listener = owner;
    }

    Piece piece() {
        return piece;
    }

    Urgency urgency() {
        return urgency;
    }

    Placement placement() {
        return placement;
    }

    int calls() {
        return calls;
    }

    void countCall() {
        calls++;
    }

    /** Takes the last call back: the endpoint had no room, so it has not begun. */
    void uncountCall() {
        calls--;
    }

    /** Takes the piece back; one that is at work already is finished, and its result given up. */
    void withdraw() {
        withdrawn = true;
    }

    boolean withdrawn() {
        return withdrawn;
    }

    void complete(PieceOutcome made) {
        listener.completed(this, made);
    }
}
