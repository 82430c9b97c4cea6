package org.wingstall.gateway.run;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.retry.AttemptTimeouts;
import org.wingstall.core.retry.RetryBudget;
import org.wingstall.core.retry.RetryRules;
import org.wingstall.core.retry.RetryRules.AttemptEnd;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.route.PromptBlocks;
import org.wingstall.schema.caller.StageCost;
import org.wingstall.schema.endpoint.StageCall;
import org.wingstall.schema.table.StageRow;

/** One stage of a request: waits for a slot, calls an endpoint, calls others when that gives no answer. */
final class StageRun implements StageWaiter, StageAttempt.Owner {
    private static final long[] NO_DIGESTS = {};

    private final RunParts parts;
    private final RequestContext context;
    private final int index;
    private final StageRow stage;
    private final JsonNode input;
    private final Listener listener;
    private final ServiceGate gate;
    private final RetryBudget budget;
    private final long[] prefixDigests;
    private final Set<String> excluded = new HashSet<>();
    private final StringBuilder text = new StringBuilder();
    private StageAttempt attempt;
    private ScheduledFuture<?> waitTimer;
    private boolean ended;
    private int attempts;
    private int nextToken;
    private long askedMs;
    private long waitMs;
    private long runMs;
    private long wastedMs;
    private volatile String lastEndpoint;

    /** Why a stage gave no output. */
    enum StageEnd {
        NO_ENDPOINT,
        DEADLINE_UNREACHABLE,
        STAGE_FAILED,
        EXHAUSTED,
        UNANSWERED
    }

    /** The request that the stage belongs to; told on its event loop. */
    interface Listener {
        /** The stage may run from here on. */
        void handedOver();

        /** The endpoint stated that the stage did not run after all. */
        void provedUnrun();

        void token(int tokenIndex, String token);

        void output(JsonNode output);

        void noOutput(StageEnd end, String detail);
    }

    StageRun(RunParts parts, RequestContext context, int index, JsonNode input, Listener listener) {
        this.parts = parts;
        this.context = context;
        this.index = index;
        this.stage = context.pipeline().getStages().get(index);
        this.input = input;
        this.listener = listener;
        this.gate = parts.gates().of(stage.getService());
        this.budget = parts.budgets().of(stage.getService());
        this.prefixDigests = isEngine() ? PromptBlocks.digests(promptOf(input)) : NO_DIGESTS;
    }

    private static String promptOf(JsonNode input) {
        JsonNode prompt = input.path("text");
        return prompt.isTextual() ? prompt.asText() : input.toString();
    }

    private boolean isEngine() {
        return stage.getKind() == StageRow.Kind.ENGINE;
    }

    StageRow stage() {
        return stage;
    }

    /** Returns what the stage has cost so far. */
    StageCost cost() {
        return new StageCost(
                stage.getName(),
                stage.getService(),
                lastEndpoint == null ? "" : lastEndpoint,
                attempts,
                waitMs,
                runMs,
                wastedMs,
                nextToken);
    }

    boolean called() {
        return attempts > 0;
    }

    void begin() {
        budget.called();
        ask();
    }

    private void ask() {
        askedMs = parts.clock().nowMs();
        gate.request(this);
        if (attempt == null && !ended) {
            long hopelessInMs = remainingMs() - (long) leftMs();
            waitTimer = context.loop().schedule(this::waitedTooLong, Math.max(1, hopelessInMs), TimeUnit.MILLISECONDS);
        }
    }

    private void waitedTooLong() {
        boolean hopeless = attempt == null && !ended && !canLand();
        if (hopeless && gate.withdraw(this)) {
            noOutput(StageEnd.DEADLINE_UNREACHABLE, "no slot at service '" + stage.getService() + "' came in time");
        }
    }

    private boolean canLand() {
        return parts.admission().canLand(remainingMs(), leftMs(), 0);
    }

    private double leftMs() {
        double quantile = parts.settings().getPolicy().getAdmissionQuantile();
        return parts.times().estimateMs(context.pipeline(), index, quantile);
    }

    private long remainingMs() {
        return context.deadlineMs() - parts.clock().nowMs();
    }

    /** Ends the stage without a word to its listener. */
    void cancel() {
        if (ended) {
            return;
        }
        ended = true;
        gate.withdraw(this);
        if (attempt != null) {
            attempt.cancel();
            settle(attempt, true);
        }
    }

    @Override
    public void granted(EndpointState endpoint) {
        if (context.loop().inEventLoop()) {
            call(endpoint);
        } else {
            context.loop().execute(() -> call(endpoint));
        }
    }

    private void call(EndpointState endpoint) {
        if (waitTimer != null) {
            waitTimer.cancel(false);
        }
        waitMs += parts.clock().nowMs() - askedMs;
        if (ended || !canLand()) {
            endpoint.release();
            gate.drain();
            noOutput(StageEnd.DEADLINE_UNREACHABLE, "the answer can't land within the deadline any more");
            return;
        }
        attempts++;
        lastEndpoint = endpoint.identity().memberId();
        endpoint.prefixes().remember(prefixDigests);
        attempt = new StageAttempt(parts, context, endpoint, stageCall(), isEngine(), stage.isRepeatable(), this);
        attempt.begin();
    }

    private StageCall stageCall() {
        return new StageCall(
                context.requestId(),
                stage.getName(),
                attempts,
                context.workspace().getName(),
                context.idempotencyKey(),
                context.pipeline().getPrecedence(),
                remainingMs(),
                stage.getMaxTokens(),
                nextToken,
                input);
    }

    @Override
    public void noEndpoint() {
        if (context.loop().inEventLoop()) {
            noEndpointHere();
        } else {
            context.loop().execute(this::noEndpointHere);
        }
    }

    private void noEndpointHere() {
        StageEnd end = attempts > 0 ? StageEnd.EXHAUSTED : StageEnd.NO_ENDPOINT;
        noOutput(end, "no further endpoint of service '" + stage.getService() + "' takes work");
    }

    @Override
    public void handedOver() {
        listener.handedOver();
    }

    @Override
    public boolean token(int tokenIndex, String token) {
        if (tokenIndex < nextToken) {
            parts.metrics().answerDropped();
            return true;
        }
        if (tokenIndex > nextToken) {
            return false;
        }
        nextToken++;
        text.append(token);
        listener.token(tokenIndex, token);
        return true;
    }

    @Override
    public void streamEnded(StageAttempt from, int tokens) {
        if (tokens == nextToken) {
            answered(from, StageAttempt.textOutput(text.toString()));
        } else {
            ended(from, AttemptEnd.MISMATCHED, "the stream ended at token " + tokens + ", not " + nextToken);
        }
    }

    @Override
    public void answered(StageAttempt from, JsonNode output) {
        if (ended) {
            return;
        }
        ended = true;
        long ranMs = from.ranMs();
        settle(from, false);
        from.endpoint().completed(ranMs);
        parts.times().whole(context.pipeline(), stage).record(ranMs);
        listener.output(output);
    }

    @Override
    public void ended(StageAttempt from, AttemptEnd end, String detail) {
        if (ended) {
            return;
        }
        boolean wasted = !isEngine() || nextToken == 0;
        settle(from, wasted);
        judge(from, end);
        excluded.add(from.endpoint().identity().memberId());
        if (end == AttemptEnd.REFUSED_UNRUN) {
            listener.provedUnrun();
        }
        attempt = null;
        switch (RetryRules.decide(end, stage.isRepeatable(), attempts, budget)) {
            case RETRY -> retry(end);
            case UNKNOWN -> noOutput(StageEnd.UNANSWERED, detail);
            case FAILED -> noOutput(StageEnd.STAGE_FAILED, detail);
            case EXHAUSTED -> noOutput(StageEnd.EXHAUSTED, detail);
        }
    }

    @Override
    public boolean moves(StageAttempt from) {
        boolean moves = RetryRules.retryLeft(attempts, budget) && gate.offersOther(this, from.endpoint());
        if (!moves) {
            parts.metrics().timeoutKept();
            judgeKept(from);
        }
        return moves;
    }

    private void retry(AttemptEnd end) {
        parts.metrics().retried(stage.getService(), end.code());
        ask();
    }

    /** An endpoint that answers other calls meanwhile is slow, not silent. */
    private void judge(StageAttempt from, AttemptEnd end) {
        boolean slow = end == AttemptEnd.TIMED_OUT && from.endpoint().signAgeMs() < from.ranMs();
        if (end != AttemptEnd.REFUSED_UNRUN && !slow) {
            countFailure(from.endpoint());
        }
    }

    private void judgeKept(StageAttempt from) {
        if (Math.min(from.ranMs(), from.endpoint().signAgeMs()) >= AttemptTimeouts.SILENT_MS) {
            countFailure(from.endpoint());
        }
    }

    private void countFailure(EndpointState endpoint) {
        if (endpoint.failed(parts.settings().getPolicy().getEjectAfterFailures())) {
            parts.metrics().ejected();
            gate.drain();
        }
    }

    private void settle(StageAttempt done, boolean wasted) {
        long ranMs = done.ranMs();
        runMs += ranMs;
        if (wasted) {
            wastedMs += ranMs;
        }
        done.endpoint().release();
        gate.drain();
    }

    private void noOutput(StageEnd end, String detail) {
        if (!ended) {
            ended = true;
            listener.noOutput(end, detail);
        }
    }

    @Override
    public long firstProgressMs() {
        return AttemptTimeouts.firstProgressMs(
                parts.times().firstProgress(context.pipeline(), stage), Math.max(1, remainingMs()));
    }

    @Override
    public void firstProgress(long afterMs) {
        parts.times().firstProgress(context.pipeline(), stage).record(afterMs);
    }

    @Override
    public boolean excludes(EndpointState endpoint) {
        return excluded.contains(endpoint.identity().memberId());
    }

    @Override
    public double expectedMs() {
        return parts.times().whole(context.pipeline(), stage).quantileMs(0.5);
    }

    @Override
    public long[] prefixDigests() {
        return prefixDigests;
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
