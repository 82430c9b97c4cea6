package org.wingstall.gateway.run;

import org.wingstall.schema.caller.StageCost;
import org.wingstall.schema.table.StageRow;

/** What a stage of one request has cost so far. */
final class StageAccount {
    private final StageRow stage;
    private int attempts;
    private long waitMs;
    private long runMs;
    private long wastedMs;
    private volatile String lastEndpoint = "";

    StageAccount(StageRow stage) {
        this.stage = stage;
    }

    void waited(long ms) {
        waitMs += ms;
    }

    void called(String endpointId) {
        attempts++;
        lastEndpoint = endpointId;
    }

    void ran(long ms, boolean wasted) {
        runMs += ms;
        if (wasted) {
            wastedMs += ms;
        }
    }

    int attempts() {
        return attempts;
    }

    StageCost cost(int tokens) {
        return new StageCost(
                stage.getName(), stage.getService(), lastEndpoint, attempts, waitMs, runMs, wastedMs, tokens);
    }
}
