package org.wingstall.gateway.run;

import com.fasterxml.jackson.databind.JsonNode;
import org.wingstall.schema.table.StageRow;

/** The properties of a stage by which a gate orders those who wait and chooses an endpoint. */
abstract class StageDemand implements StageWaiter {
    final RunParts parts;
    final RequestContext context;
    final StageRow stage;
    final StageWork work;

    StageDemand(RunParts parts, RequestContext context, StageRow stage, JsonNode input) {
        this.parts = parts;
        this.context = context;
        this.stage = stage;
        this.work = new StageWork(context, stage, input);
    }

    @Override
    public double expectedMs() {
        return parts.times().whole(context.pipeline(), stage).quantileMs(0.5);
    }

    @Override
    public long[] prefixDigests() {
        return work.prefixDigests();
    }

    @Override
    public int precedence() {
        return context.pipeline().getPrecedence();
    }

    @Override
    public String workspace() {
        return context.workspace().getName();
    }

    @Override
    public double weight() {
        return context.workspace().getWeight();
    }

    @Override
    public long deadlineMs() {
        return context.deadlineMs();
    }
}
