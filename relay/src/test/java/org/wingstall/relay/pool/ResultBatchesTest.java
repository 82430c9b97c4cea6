package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.wire.PieceResult;
import org.wingstall.schema.peer.StageResult;

/** Guards against results that are lost, sent twice, or sent with those of another work or box. */
public class ResultBatchesTest {
    private final ResultBatches batches = new ResultBatches();

    private static StageResult result(int place) {
        return new StageResult(place, "handle-" + place, "10.1.0.9:80", null, 0, 0, false, null);
    }

    private static PieceOutcome outcome() {
        return PieceOutcome.failed(PieceResult.Failure.ERROR);
    }

    /** Boxes and works of the results, one letter and one digit each, and the batches that they make. */
    @DataProvider
    Object[][] results() {
        return new Object[][] {
            {List.of(), List.of()},
            {List.of("a1"), List.of("a1:0")},
            {List.of("a1", "a1", "a1"), List.of("a1:0,1,2")},
            {List.of("a1", "b1", "a1"), List.of("a1:0,2", "b1:1")},
            {List.of("a1", "a2", "a1", "b2"), List.of("a1:0,2", "a2:1", "b2:3")},
        };
    }

    @Test(dataProvider = "results")
    public void resultsAreCollectedByWork(List<String> works, List<String> expected) {
        for (int place = 0; place < works.size(); place++) {
            String work = works.get(place);
            boolean first = batches.add(work.substring(0, 1), work.charAt(1) - '0', result(place), outcome());
            assertEquals(first, place == 0, "whether a drain has to be scheduled");
        }
        assertEquals(drained(), expected);
        assertEquals(drained(), List.of(), "after the drain");
    }

    private List<String> drained() {
        List<String> drained = new ArrayList<>();
        batches.drain(batch -> {
            assertEquals(batch.outcomes().size(), batch.results().size());
            List<String> places = batch.results().stream()
                    .map(result -> Integer.toString(result.getPlace()))
                    .toList();
            drained.add(batch.boxId() + batch.correlation() + ":" + String.join(",", places));
        });
        return drained;
    }
}
