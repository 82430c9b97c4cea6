package org.wingstall.relay.run;

import java.util.List;
import org.wingstall.core.answer.Reason;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.config.StageSpec;
import org.wingstall.relay.engine.EngineInputs;
import org.wingstall.relay.pool.StageGraph;
import org.wingstall.relay.pool.Urgency;
import org.wingstall.relay.wire.PieceResult;
import org.wingstall.relay.wire.RelayRequest;

/**
 * The stages of one request, done again once when results were lost with their maker. Confined to the request loop.
 *
 * <p>{@code stages.begin(urgency, "kgn-a"); ... stages.close();}
 */
final class RunStages implements StageGraph.StagesListener {
    /** Times that the stages of a request are done: again once, when results were lost with their maker. */
    private static final int MOST_RUNS = 2;

    /** When a caller is told to come back after a refusal whose cause passes quickly, in ms. */
    private static final long SOON_MS = 300;

    private final RelayParts parts;
    private final RelayRequest request;
    private final Route route;
    private final long dueAtMs;
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
        void stagesAgain(String detail);

        /** A stage has no result, so the request can't be sent. */
        void stagesFailed(Reason reason, String detail, long againMs);
    }

    RunStages(RelayParts parts, RelayRequest request, Route route, long dueAtMs, Owner owner) {
        this.parts = parts;
        this.request = request;
        this.route = route;
        this.dueAtMs = dueAtMs;
        this.owner = owner;
    }

    /** Begins the stages. */
    void begin(Urgency wanted, String readsIn) {
        urgency = wanted;
        readerDomain = readsIn;
        run();
    }

    private void run() {
        runs++;
        graph = parts.pools().graph(request, route, urgency, readerDomain, this);
        graph.begin();
    }

    /** Returns where the results lie that the request reads. */
    EngineInputs outputPlace() {
        return graph == null ? EngineInputs.NONE : graph.outputPlace();
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
            case INPUT_GONE -> inputGone(stage, detail);
            default -> owner.stagesFailed(Reason.STAGE_WITHOUT_RESULT, detail, SOON_MS);
        }
    }

    private void inputGone(StageSpec stage, String detail) {
        if (mayRunAgain(stage.service())) {
            owner.stagesAgain(detail);
            run();
        } else {
            owner.stagesFailed(Reason.STAGE_WITHOUT_RESULT, detail, SOON_MS);
        }
    }

    /** Results die with their maker, so the stages that led to them are done again, once. */
    private boolean mayRunAgain(String stageService) {
        boolean again = runs < MOST_RUNS
                && parts.clock().nowMs() < dueAtMs
                && parts.budgets().of(stageService).tryRetry();
        if (again) {
            parts.metrics().retried("inputs-lost");
        }
        return again;
    }
}
