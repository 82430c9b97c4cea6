package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.wingstall.schema.peer.StageResult;

/**
 * Collects the results that become known in one turn of the event loop, so that those of one work are sent to its box in one
 * frame: a call has results for some ten pieces, and in a large fleet a frame for each was most of what hubs sent. Confined
 * to the request loop.
 *
 * <p>{@code batches.add("kgn-a-1", 7, result, outcome); ... batches.drain(batch -> send(batch));}
 */
final class ResultBatches {
    private final Map<Key, Batch> byWork = new LinkedHashMap<>();

    private record Key(String boxId, long correlation) {
        // Written out like hashCode: the generated methods of a record are made at its first use, which takes several
        // ms.
        @Override
        public boolean equals(Object other) {
            return other instanceof Key that && correlation == that.correlation && boxId.equals(that.boxId);
        }

        @Override
        public int hashCode() {
            return 31 * boxId.hashCode() + Long.hashCode(correlation);
        }
    }

    /**
     * Results of pieces of one work.
     *
     * @param boxId the box that delegated it
     * @param correlation the work
     * @param results the results
     * @param outcomes the outcomes that the results were made from, to free them if they can't be sent
     */
    record Batch(String boxId, long correlation, List<StageResult> results, List<PieceOutcome> outcomes) {}

    /** Adds a result; returns whether it is the first since the last {@link #drain}. */
    boolean add(String boxId, long correlation, StageResult result, PieceOutcome outcome) {
        boolean first = byWork.isEmpty();
        Batch batch = byWork.computeIfAbsent(
                new Key(boxId, correlation),
                key -> new Batch(boxId, correlation, new ArrayList<>(), new ArrayList<>()));
        batch.results.add(result);
        batch.outcomes.add(outcome);
        return first;
    }

    /** Removes all batches and passes them on, in the order of their first results. */
    void drain(Consumer<Batch> receiver) {
        List<Batch> batches = List.copyOf(byWork.values());
        byWork.clear();
        batches.forEach(receiver);
    }
}
