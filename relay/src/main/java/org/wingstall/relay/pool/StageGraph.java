package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.wingstall.core.answer.RetryTime;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.config.StageSpec;
import org.wingstall.relay.engine.InputLocation;
import org.wingstall.relay.wire.Piece;
import org.wingstall.relay.wire.PieceResult;
import org.wingstall.relay.wire.RelayRequest;

/**
 * Runs the stages of one request: each stage starts when its predecessors are done, and the results of a stage are
 * freed once all of its successors are done. Confined to the request loop.
 *
 * <p>{@code graph.begin(); ... graph.outputs(); ... graph.close();}
 *
 * @since 0.2
 */
public final class StageGraph {
    private final StagePools pools;
    private final RelayRequest request;
    private final List<StageSpec> specs;
    private final Urgency urgency;
    private final String readerDomain;
    private final StagesListener listener;
    private final List<StageProgress> stages = new ArrayList<>();
    private boolean closed;
    private boolean complete;

    /** Receives the end of the stages; at most one of the methods is called, once. */
    public interface StagesListener {
        /** All stages are done. */
        void stagesDone();

        /**
         * A stage failed.
         *
         * @param stage the stage
         * @param failure why it has no result
         * @param coordinator box that failed it; null for this box
         * @param retryTime time after which the request may be retried; 0 ms when that is not known
         */
        void stageFailed(StageSpec stage, PieceResult.Failure failure, String coordinator, RetryTime retryTime);
    }

    /** Tracks the pieces of one stage, which complete in any order. */
    private static final class StageProgress {
        private final StageSpec spec;
        private final PieceOutcome[] outcomes;
        private final List<PieceTask> tasks = new ArrayList<>();
        private boolean started;
        private boolean resultsFreed;
        private int remaining;
        private long startedMs;
        private long doneMs;

        StageProgress(StageSpec spec, int pieces) {
            this.spec = spec;
            this.outcomes = new PieceOutcome[pieces];
            this.remaining = pieces;
        }

        boolean done() {
            return remaining == 0;
        }

        /** Returns the progress of the stage, such as "stage 0 at 'pay-ledger': 2 of 2 pieces, 310 ms, by kgn-a-1". */
        String progress(long nowMs) {
            String by = results()
                    .map(PieceOutcome::coordinator)
                    .map(box -> box == null ? "this box" : box)
                    .distinct()
                    .collect(Collectors.joining(" and "));
            long tookMs = (done() ? doneMs : nowMs) - startedMs;
            return "stage " + spec.index() + " at '" + spec.service() + "': " + (outcomes.length - remaining) + " of "
                    + outcomes.length + " pieces, " + tookMs + " ms" + (by.isEmpty() ? "" : ", by " + by);
        }

        Stream<PieceOutcome> results() {
            return Stream.of(outcomes).filter(piece -> piece != null);
        }
    }

    StageGraph(
            StagePools pools,
            RelayRequest request,
            Route route,
            Urgency urgency,
            String readerDomain,
            StagesListener listener) {
        this.pools = pools;
        this.request = request;
        this.specs = route.stages();
        this.urgency = urgency;
        this.readerDomain = readerDomain;
        this.listener = listener;
    }

    /** Starts the stages that have no predecessors. */
    public void begin() {
        for (StageSpec spec : specs) {
            stages.add(new StageProgress(spec, request.piecesOf(spec.index())));
        }
        advance();
    }

    /** Returns the handles of the results that the request itself reads: those of the stages without successors. */
    public List<String> outputs() {
        List<String> handles = new ArrayList<>();
        for (StageProgress stage : stages) {
            if (successors(stage).isEmpty()) {
                stage.results().map(piece -> piece.result().handle()).forEach(handles::add);
            }
        }
        return handles;
    }

    /** Returns the failure domain that stores most bytes of the results that the request itself reads. */
    public InputLocation outputLocation() {
        Map<String, Long> bytes = new HashMap<>();
        for (StageProgress stage : stages) {
            if (successors(stage).isEmpty()) {
                stage.results()
                        .forEach(outcome -> bytes.merge(pools.domainOf(outcome), stage.spec.resultBytes(), Long::sum));
            }
        }
        return bytes.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(most -> new InputLocation(most.getKey(), most.getValue()))
                .orElse(InputLocation.NONE);
    }

    /** Returns the progress of each started stage, for the log. */
    public List<String> progress() {
        return stages.stream()
                .filter(stage -> stage.started && stage.outcomes.length > 0)
                .map(stage -> stage.progress(pools.nowMs()))
                .toList();
    }

    /** Closes the graph: withdraws pieces that are not done and frees all results. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        for (StageProgress stage : stages) {
            stage.tasks.forEach(PieceTask::withdraw);
            freeResults(stage);
        }
        pools.withdrawn();
    }

    private void advance() {
        for (StageProgress stage : List.copyOf(stages)) {
            boolean ready = !stage.started && predecessors(stage).stream().allMatch(StageProgress::done);
            if (ready && !closed) {
                start(stage);
            }
        }
        if (!closed && !complete && stages.stream().allMatch(StageProgress::done)) {
            complete = true;
            listener.stagesDone();
        }
    }

    private List<StageProgress> predecessors(StageProgress stage) {
        return stage.spec.dependencies().stream().map(stages::get).toList();
    }

    private List<StageProgress> successors(StageProgress stage) {
        return stages.stream()
                .filter(other -> other.outcomes.length > 0)
                .filter(other -> other.spec.dependencies().contains(stage.spec.index()))
                .toList();
    }

    private void start(StageProgress stage) {
        stage.started = true;
        stage.startedMs = pools.nowMs();
        List<String> inputs = predecessors(stage).stream()
                .flatMap(StageProgress::results)
                .map(outcome -> outcome.result().handle())
                .toList();
        String key = inputs.isEmpty() ? request.pieceKey() : null;
        Urgency stageUrgency = urgencyOf(stage);
        PieceTask.Placement placement = placement(stage);
        for (int i = 0; i < stage.outcomes.length; i++) {
            Piece piece = new Piece(request.id(), stage.spec.index(), i, key, inputs, request.pieceKey());
            stage.tasks.add(
                    new PieceTask(piece, stageUrgency, placement, (task, outcome) -> ended(stage, task, outcome)));
        }
        if (!stage.tasks.isEmpty()) {
            pools.submit(stage.spec.service(), stage.tasks);
        }
    }

    /** Returns the placement that transfers the fewest bytes between domains: near the inputs, or near the reader. */
    private PieceTask.Placement placement(StageProgress stage) {
        long resultBytes = stage.spec.resultBytes();
        long inputBytes = predecessors(stage).stream()
                .mapToLong(input -> input.outcomes.length * input.spec.resultBytes())
                .sum();
        long outputBytes = successors(stage).isEmpty() && !readerDomain.isEmpty() ? resultBytes : 0;
        if (inputBytes > outputBytes) {
            String inputDomain = mostCommon(predecessors(stage).stream()
                    .flatMap(StageProgress::results)
                    .map(pools::domainOf)
                    .toList());
            return new PieceTask.Placement(inputDomain, resultBytes, inputBytes);
        }
        return new PieceTask.Placement(outputBytes > 0 ? readerDomain : "", resultBytes, outputBytes);
    }

    private static String mostCommon(List<String> domains) {
        return domains.stream()
                .max(Comparator.comparingInt(domain -> Collections.frequency(domains, domain)))
                .orElse("");
    }

    /**
     * Returns the urgency of a stage. The queues of later stages count for stages without predecessors only: others are
     * not rejected because of them, and are served in the same order as without them.
     */
    private Urgency urgencyOf(StageProgress stage) {
        long usualMs = successorsMs(stage, false);
        boolean withQueues = pools.countsLaterQueues() && predecessors(stage).isEmpty();
        long laterMs = withQueues ? successorsMs(stage, true) : usualMs;
        return urgency.beforeStages(laterMs, laterMs - usualMs);
    }

    /**
     * Returns the expected time of the longest chain of successors of a stage, in ms.
     *
     * @param withQueues whether to add the reported waits of overloaded pools
     */
    private long successorsMs(StageProgress stage, boolean withQueues) {
        long longestMs = 0;
        for (StageProgress reader : successors(stage)) {
            long waitMs = withQueues ? pools.waitMs(reader.spec.service(), urgency.rank()) : 0;
            long ownMs = pools.expectedMs(reader.spec, reader.outcomes.length, waitMs);
            longestMs = Math.max(longestMs, ownMs + successorsMs(reader, withQueues));
        }
        return longestMs;
    }

    private void ended(StageProgress stage, PieceTask task, PieceOutcome outcome) {
        if (closed) {
            pools.freer().free(outcome);
        } else if (!outcome.result().success()) {
            close();
            listener.stageFailed(stage.spec, outcome.result().failure(), outcome.coordinator(), outcome.retryTime());
        } else {
            stage.outcomes[task.piece().index()] = outcome;
            stage.remaining--;
            if (stage.done()) {
                stage.doneMs = pools.nowMs();
                predecessors(stage).forEach(this::freeResultsIfRead);
                advance();
            }
        }
    }

    private void freeResultsIfRead(StageProgress stage) {
        Collection<StageProgress> readers = successors(stage);
        if (readers.stream().allMatch(StageProgress::done)) {
            freeResults(stage);
        }
    }

    private void freeResults(StageProgress stage) {
        if (!stage.resultsFreed) {
            stage.resultsFreed = true;
            stage.results().forEach(pools.freer()::free);
        }
    }
}
