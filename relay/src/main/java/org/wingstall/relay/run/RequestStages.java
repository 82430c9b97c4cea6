package org.wingstall.relay.run;

import java.util.List;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.answer.RetryTime;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.config.StageSpec;
import org.wingstall.relay.engine.InputLocation;
import org.wingstall.relay.pool.StageGraph;
import org.wingstall.relay.pool.Urgency;
import org.wingstall.relay.wire.PieceResult;
import org.wingstall.relay.wire.RelayRequest;

/**
 * Runs the stages of one request, and runs them again once if results were lost. Confined to the request loop.
 *
 * <p>{@code stages.start(urgency, "kgn-a"); ... stages.close();}
 */
final class RequestStages implements StageGraph.StagesListener {
    /** Maximum runs of the stages: one, and another if results were lost with the endpoint that stored them. */
    private static final int MAX_RUNS = 2;

    /** Retry-after time of refusals whose cause passes quickly. */
    private static final RetryTime RETRY_SOON = RetryTime.estimated(300);

    private final RelayContext context;
    private final RelayRequest request;
    private final Route route;
    private final long deadlineAtMs;
    private final Owner owner;
    private StageGraph graph;
    private Urgency urgency;
    private String readerDomain;
    private int runs;
    private boolean closed;

    /** The request that the stages are for. */
    interface Owner {
        /** All stages are done; receives the handles of the results that the request reads. */
        void stagesDone(List<String> outputs);

        /** Results were lost, and the stages run again from the start. */
        void stagesRestarted(String detail);

        /** A stage failed, so the request is not sent. */
        void stagesFailed(Reason reason, String detail, RetryTime retryTime);
    }

    RequestStages(RelayContext context, RelayRequest request, Route route, long deadlineAtMs, Owner owner) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.deadlineAtMs = deadlineAtMs;
        this.owner = owner;
    }

    /** Starts the stages. */
    void start(Urgency wanted, String readsIn) {
        urgency = wanted.withCallerDeadline(deadlineAtMs);
        readerDomain = readsIn;
        run();
    }

    private void run() {
        runs++;
        graph = context.stagePools().graph(request, route, urgency, readerDomain, this);
        graph.begin();
    }

    /** Returns the location of the results that the request reads. */
    InputLocation outputPlace() {
        return graph == null ? InputLocation.NONE : graph.outputLocation();
    }

    /** Returns the progress of each stage, for the log; empty without stages. */
    List<String> progress() {
        return graph == null ? List.of() : graph.progress();
    }

    /** Withdraws the work that is not done and frees the results. */
    void close() {
        closed = true;
        if (graph != null) {
            graph.close();
        }
    }

    @Override
    public void stagesDone() {
        owner.stagesDone(graph.outputs());
    }

    @Override
    public void stageFailed(StageSpec stage, PieceResult.Failure failure, String coordinator, RetryTime retryTime) {
        if (closed) {
            return;
        }
        String by = coordinator == null ? "this box" : coordinator;
        String detail = "stage " + stage.index() + " at '" + stage.service() + "': " + failure + ", by " + by;
        switch (failure) {
            case QUARANTINED -> owner.stagesFailed(Reason.QUARANTINED, detail, retryTime);
            case NOT_IN_TIME -> {
                context.metrics().recordRetryTime(retryTime.scheduled());
                owner.stagesFailed(Reason.DEADLINE_UNREACHABLE, detail, retryTime);
            }
            case INPUT_GONE -> onInputLost(stage, detail);
            default -> owner.stagesFailed(Reason.STAGE_WITHOUT_RESULT, detail, RETRY_SOON);
        }
    }

    private void onInputLost(StageSpec stage, String detail) {
        if (tryRerun(stage.service())) {
            owner.stagesRestarted(detail);
            run();
        } else {
            owner.stagesFailed(Reason.STAGE_WITHOUT_RESULT, detail, RETRY_SOON);
        }
    }

    /** Results are lost with the endpoint that stores them, so the stages are run again, once. */
    private boolean tryRerun(String stageService) {
        boolean rerun = runs < MAX_RUNS
                && context.clock().nowMs() < deadlineAtMs
                && context.retryBudgets().of(stageService).tryRetry();
        if (rerun) {
            context.metrics().recordRetry("inputs-lost");
        }
        return rerun;
    }
}
