package org.wingstall.gateway.run;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wingstall.core.admit.StageTimes;
import org.wingstall.schema.table.PipelineRow;
import org.wingstall.schema.table.StageRow;

/**
 * Measured times of every stage of every pipeline.
 *
 * <p>{@code double leftMs = table.estimateMs(pipeline, 1, 0.9);}
 *
 * @since 0.1
 */
public final class StageTimesTable {
    private final Map<String, StageTimes> whole = new ConcurrentHashMap<>();
    private final Map<String, StageTimes> firstProgress = new ConcurrentHashMap<>();

    /** Returns the times from call to whole answer. */
    public StageTimes whole(PipelineRow pipeline, StageRow stage) {
        return whole.computeIfAbsent(key(pipeline, stage), key -> new StageTimes(stage.getExpectedMs()));
    }

    /** Returns the times from call to the first sign of an answer. */
    public StageTimes firstProgress(PipelineRow pipeline, StageRow stage) {
        return firstProgress.computeIfAbsent(key(pipeline, stage), key -> new StageTimes(stage.getExpectedMs()));
    }

    /** Returns the estimated time of a pipeline's stages from an index on, in ms. */
    public double estimateMs(PipelineRow pipeline, int fromStage, double quantile) {
        List<StageRow> stages = pipeline.getStages();
        double sum = 0;
        for (int i = fromStage; i < stages.size(); i++) {
            sum += whole(pipeline, stages.get(i)).estimateMs(quantile);
        }
        return sum;
    }

    private static String key(PipelineRow pipeline, StageRow stage) {
        return pipeline.getName() + "/" + stage.getName();
    }
}
