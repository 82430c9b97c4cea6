package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import org.wingstall.core.answer.RetryTime;
import org.wingstall.core.member.Addresses;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.peer.PieceLinks;
import org.wingstall.relay.wire.Piece;
import org.wingstall.schema.peer.StagePiece;
import org.wingstall.schema.peer.StageResult;
import org.wingstall.schema.peer.StageWork;

/**
 * Runs the pieces that other boxes delegated to this box, in the same pools as its own. Confined to the request loop.
 */
final class PeerPieces {
    private final Executor loop;
    private final PieceLinks links;
    private final MonotonicClock clock;
    private final StagePools pools;
    private final Map<String, Map<Long, List<PieceTask>>> byBox = new HashMap<>();
    private final ResultBatches results = new ResultBatches();

    PeerPieces(Executor loop, PieceLinks links, MonotonicClock clock, StagePools pools) {
        this.loop = loop;
        this.links = links;
        this.clock = clock;
        this.pools = pools;
    }

    void workReceived(String boxId, long correlation, StageWork work) {
        List<PieceTask> tasks = new ArrayList<>();
        for (StagePiece piece : work.getPieces()) {
            int place = tasks.size();
            tasks.add(decode(
                    piece,
                    (task, outcome) -> completed(
                            boxId, correlation, encode(place, outcome, waitMs(work.getService(), task)), outcome)));
        }
        byBox.computeIfAbsent(boxId, box -> new HashMap<>()).put(correlation, tasks);
        pools.pool(work.getService()).submit(tasks);
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
        return pools.pool(service).waitMs(task.urgency().rank());
    }

    private void completed(String boxId, long correlation, StageResult result, PieceOutcome outcome) {
        List<PieceTask> tasks = byBox.getOrDefault(boxId, Map.of()).get(correlation);
        if (tasks == null) {
            pools.freer().free(outcome);
            return;
        }
        if (results.add(boxId, correlation, result, outcome)) {
            loop.execute(() -> results.drain(this::send));
        }
        tasks.set(result.getPlace(), null);
        if (tasks.stream().allMatch(task -> task == null)) {
            byBox.get(boxId).remove(correlation);
        }
    }

    private void send(ResultBatches.Batch batch) {
        if (!links.tellResults(batch.boxId(), batch.correlation(), batch.results())) {
            batch.outcomes().forEach(pools.freer()::free);
        }
    }

    private static StageResult encode(int place, PieceOutcome outcome, long waitMs) {
        if (!outcome.result().success()) {
            RetryTime retryTime = outcome.retryTime();
            String failure = outcome.result().failure().name();
            return new StageResult(place, null, null, failure, retryTime.afterMs(), waitMs, retryTime.scheduled());
        }
        String endpoint = Addresses.format(outcome.endpointAddress());
        return new StageResult(place, outcome.result().handle(), endpoint, null, 0, waitMs, false);
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

    private static void withdraw(List<PieceTask> tasks) {
        if (tasks == null) {
            return;
        }
        for (PieceTask task : tasks) {
            if (task != null) {
                task.withdraw();
            }
        }
    }
}
