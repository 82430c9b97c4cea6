package org.wingstall.relay.pool;

import org.wingstall.relay.wire.Piece;

/** A piece that is queued or running. */
final class PieceTask {
    private final Piece piece;
    private final Urgency urgency;
    private final Placement placement;
    private final CompletionListener listener;
    private int calls;
    private boolean withdrawn;

    /** Receives the outcome of a piece, on the request loop. */
    @FunctionalInterface
    interface CompletionListener {
        void completed(PieceTask task, PieceOutcome outcome);
    }

    /**
     * The preferred failure domain of a piece, and the sizes that depend on where it runs.
     *
     * @param nearDomain failure domain of its inputs or of its reader; empty when any domain will do
     * @param resultBytes approximate size of its result
     * @param crossDomainBytes bytes sent between failure domains when it runs in another one
     */
    record Placement(String nearDomain, long resultBytes, long crossDomainBytes) {}

    PieceTask(Piece piece, Urgency urgency, Placement placement, CompletionListener listener) {
        this.piece = piece;
        this.urgency = urgency;
        this.placement = placement;
        this.listener = listener;
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

    /** Uncounts the last call: the endpoint had no result capacity and did not start the piece. */
    void uncountCall() {
        calls--;
    }

    /** Withdraws the piece. One that is already running is finished, and its result is freed. */
    void withdraw() {
        withdrawn = true;
    }

    boolean withdrawn() {
        return withdrawn;
    }

    void complete(PieceOutcome outcome) {
        listener.completed(this, outcome);
    }
}
