package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import org.wingstall.core.answer.RetryTime;
import org.wingstall.core.member.Addresses;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.wire.Piece;
import org.wingstall.schema.peer.StagePiece;
import org.wingstall.schema.peer.StageResult;
import org.wingstall.schema.peer.StageWork;

/**
 * Runs the pieces that other boxes delegated to this box, in the same pools as its own. Confined to the request loop.
 */
final class PeerPieces {
    private final Executor loop;
    private final ResultSender sender;
    private final MonotonicClock clock;
    private final Pools pools;
    private final Map<String, Map<Long, Work>> byBox = new HashMap<>();
    private final ResultBatches results = new ResultBatches();

    /** Pieces that a box delegated at once; those that are done are null. */
    private static final class Work {
        private final String boxId;
        private final long correlation;
        private final List<PieceTask> tasks = new ArrayList<>();

        Work(String boxId, long correlation) {
            this.boxId = boxId;
            this.correlation = correlation;
        }
    }

    /** Sends results to the box that delegated their pieces. */
    @FunctionalInterface
    interface ResultSender {
        /** Sends results of one work; returns whether there is a link to the box. */
        boolean send(String boxId, long correlation, List<StageResult> results);
    }

    /** The pools in which the pieces run. */
    interface Pools {
        /** Runs pieces of a service. */
        void submit(String service, List<PieceTask> tasks);

        /** Returns the wait of a group of the rank that arrives at a service now, in ms. */
        long waitMs(String service, int rank);

        /** Frees a result that nothing reads. */
        void free(PieceOutcome outcome);
    }

    PeerPieces(Executor loop, ResultSender sender, MonotonicClock clock, Pools pools) {
        this.loop = loop;
        this.sender = sender;
        this.clock = clock;
        this.pools = pools;
    }

    void workReceived(String boxId, long correlation, StageWork message) {
        Work work = new Work(boxId, correlation);
        for (StagePiece piece : message.getPieces()) {
            int place = work.tasks.size();
            work.tasks.add(decode(
                    piece,
                    (task, outcome) -> completed(
                            work,
                            encode(place, piece.getRequestId(), outcome, waitMs(message.getService(), task)),
                            outcome)));
        }
        // Boxes of earlier builds use the same numbers in each life.
        withdraw(byBox.computeIfAbsent(boxId, box -> new HashMap<>()).put(correlation, work));
        pools.submit(message.getService(), List.copyOf(work.tasks));
    }

    private PieceTask decode(StagePiece piece, PieceTask.CompletionListener listener) {
        long nowMs = clock.nowMs();
        return new PieceTask(
                new Piece(
                        piece.getRequestId(),
                        piece.getStage(),
                        piece.getIndex(),
                        piece.getKey(),
                        piece.getInputs(),
                        piece.getOrigin()),
                new Urgency(
                        piece.getRank(),
                        nowMs + piece.getTargetMs(),
                        nowMs + piece.getRemainingMs(),
                        nowMs + Math.max(piece.getCallerMs(), piece.getRemainingMs()),
                        piece.getLaterWaitMs()),
                new PieceTask.Placement(piece.getNearDomain(), piece.getResultBytes(), piece.getAwayBytes()),
                listener);
    }

    private long waitMs(String service, PieceTask task) {
        return pools.waitMs(service, task.urgency().rank());
    }

    /** Compares the work itself: another one may have its number by now. */
    private void completed(Work work, StageResult result, PieceOutcome outcome) {
        Map<Long, Work> ofBox = byBox.getOrDefault(work.boxId, Map.of());
        if (ofBox.get(work.correlation) != work) {
            pools.free(outcome);
            return;
        }
        if (results.add(work.boxId, work.correlation, result, outcome)) {
            loop.execute(() -> results.drain(this::send));
        }
        work.tasks.set(result.getPlace(), null);
        if (work.tasks.stream().allMatch(task -> task == null)) {
            ofBox.remove(work.correlation);
        }
    }

    private void send(ResultBatches.Batch batch) {
        if (!sender.send(batch.boxId(), batch.correlation(), batch.results())) {
            batch.outcomes().forEach(pools::free);
        }
    }

    private static StageResult encode(int place, String requestId, PieceOutcome outcome, long waitMs) {
        if (!outcome.result().success()) {
            RetryTime retryTime = outcome.retryTime();
            String failure = outcome.result().failure().name();
            return new StageResult(
                    place, null, null, failure, retryTime.afterMs(), waitMs, retryTime.scheduled(), requestId);
        }
        String endpoint = Addresses.format(outcome.endpointAddress());
        return new StageResult(place, outcome.result().handle(), endpoint, null, 0, waitMs, false, requestId);
    }

    void withdrawn(String boxId, long correlation) {
        withdraw(byBox.getOrDefault(boxId, Map.of()).remove(correlation));
    }

    void unlinked(String boxId) {
        Map<Long, Work> lost = byBox.remove(boxId);
        if (lost != null) {
            lost.values().forEach(PeerPieces::withdraw);
        }
    }

    private static void withdraw(Work work) {
        if (work == null) {
            return;
        }
        for (PieceTask task : work.tasks) {
            if (task != null) {
                task.withdraw();
            }
        }
    }
}
