package org.wingstall.relay.run;

import java.util.List;
import org.wingstall.core.answer.Reason;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.config.StageSpec;
import org.wingstall.relay.engine.InputLocation;
import org.wingstall.relay.pool.StageGraph;
import org.wingstall.relay.pool.Urgency;
import org.wingstall.relay.wire.PieceResult;
import org.wingstall.relay.wire.RelayRequest;

/**
 * The stages of one request, done again once when results were lost with their maker. Confined to the request loop.
 *
 * <p>{@code stages.begin(urgency, "kgn-a"); ... stages.close();}
 */
final class RequestStages implements StageGraph.StagesListener {
    /** Times that the stages of a request are done: again once, when results were lost with their maker. */
    private static final int MAX_RUNS = 2;

    /** When a caller is told to come back after a refusal whose cause passes quickly, in ms. */
    private static final long RETRY_AFTER_MS = 300;

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
        /** All stages are done; takes the results that the request itself reads. */
        void stagesDone(List<String> outputs);

        /** Results were lost, and the stages begin anew. */
        void stagesRestarted(String detail);

        /** A stage has no result, so the request can't be sent. */
        void stagesFailed(Reason reason, String detail, long againMs);
    }

    RequestStages(RelayContext context, RelayRequest request, Route route, long deadlineAtMs, Owner owner) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.deadlineAtMs = deadlineAtMs;
        this.owner = owner;
    }

    /** Begins the stages. */
    void start(Urgency wanted, String readsIn) {
        urgency = wanted;
        readerDomain = readsIn;
        run();
    }

    private void run() {
        runs++;
        graph = context.stagePools().graph(request, route, urgency, readerDomain, this);
        graph.begin();
    }

    /** Returns where the results lie that the request reads. */
    InputLocation outputPlace() {
        return graph == null ? InputLocation.NONE : graph.outputLocation();
    }

    /** Returns how far each stage came; nothing without stages. */
    List<String> progress() {
        return graph == null ? List.of() : graph.progress();
    }

    /** Gives up what is not done, and the results. */
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
    public void stageFailed(StageSpec stage, PieceResult.Failure failure, long againMs) {
        if (closed) {
            return;
        }
        String detail = "stage " + stage.index() + " at '" + stage.service() + "': " + failure;
        switch (failure) {
            case QUARANTINED -> owner.stagesFailed(Reason.QUARANTINED, detail, againMs);
            case NOT_IN_TIME -> owner.stagesFailed(Reason.DEADLINE_UNREACHABLE, detail, againMs);
            case INPUT_GONE -> onInputLost(stage, detail);
            default -> owner.stagesFailed(Reason.STAGE_WITHOUT_RESULT, detail, RETRY_AFTER_MS);
        }
    }

    private void onInputLost(StageSpec stage, String detail) {
        if (tryRerun(stage.service())) {
            owner.stagesRestarted(detail);
            run();
        } else {
            owner.stagesFailed(Reason.STAGE_WITHOUT_RESULT, detail, RETRY_AFTER_MS);
        }
    }

    /** Results die with their maker, so the stages that led to them are done again, once. */
    private boolean tryRerun(String stageService) {
        boolean again = runs < MAX_RUNS
                && context.clock().nowMs() < deadlineAtMs
                && context.retryBudgets().of(stageService).tryRetry();
        if (again) {
            context.metrics().recordRetry("inputs-lost");
        }
        return again;
    }
}
