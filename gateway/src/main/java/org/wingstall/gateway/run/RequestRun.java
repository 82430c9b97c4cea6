package org.wingstall.gateway.run;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.answer.Reason;
import org.wingstall.gateway.claim.Claim;
import org.wingstall.gateway.claim.ClaimOutcome;
import org.wingstall.schema.caller.Answer;
import org.wingstall.schema.caller.StageCost;
import org.wingstall.schema.table.PipelineRow;
import org.wingstall.schema.table.StageRow;

/**
 * Takes one request through its pipeline and ends it in exactly one outcome; runs on the request's event loop.
 *
 * <p>Before a byte of any stage is handed to an endpoint the request can end as {@code not-run}; after it, never, unless
 * the endpoint itself states that it did not run the stage.
 */
public final class RequestRun implements StageListener {
    private static final long LATE_ANSWER_MS = 60_000;
    private static final long RETRY_SOON_MS = 200;

    private final RunParts parts;
    private final RequestContext context;
    private final AnswerSink sink;
    private final Runnable whenOver;
    private final List<StageRun> stages = new ArrayList<>();
    private Claim claim;
    private ScheduledFuture<?> deadlineTimer;
    private int handedOver;
    private boolean onceOnlyHandedOver;
    private boolean answered;
    private boolean over;

    /**
     * Creates a run.
     *
     * @param parts what all requests share
     * @param context the request
     * @param sink where its answer goes
     * @param whenOver told once nothing is left to do for the request
     */
    public RequestRun(RunParts parts, RequestContext context, AnswerSink sink, Runnable whenOver) {
        this.parts = parts;
        this.context = context;
        this.sink = sink;
        this.whenOver = whenOver;
    }

    /** Begins the run. */
    public void begin() {
        deadlineTimer =
                context.loop().schedule(this::deadlinePassed, Math.max(1, remainingMs()), TimeUnit.MILLISECONDS);
        double waitMs = expectedWaitMs();
        double quantile = parts.settings().getPolicy().getAdmissionQuantile();
        double stagesMs = parts.times().estimateMs(context.pipeline(), 0, quantile);
        if (!parts.admission().canMeetDeadline(remainingMs(), stagesMs, waitMs)) {
            String detail = "needs about " + Math.round(stagesMs + waitMs) + " ms of " + remainingMs() + " ms";
            end(Reason.DEADLINE_UNREACHABLE, detail, parts.retryAfter().jitteredMs((long) waitMs));
        } else if (context.needsClaim()) {
            acquireClaim();
        } else {
            runStage(0, context.input());
        }
    }

    private double expectedWaitMs() {
        PipelineRow pipeline = context.pipeline();
        double waitMs = 0;
        for (StageRow stage : pipeline.getStages()) {
            double callMs = parts.times().whole(pipeline, stage).estimateMs(0.5);
            waitMs += parts.gates().of(stage.getService()).expectedWaitMs(pipeline.getPrecedence(), callMs);
        }
        return waitMs;
    }

    private long remainingMs() {
        return context.deadlineMs() - parts.clock().nowMs();
    }

    private void acquireClaim() {
        Claim wanted = parts.claims()
                .newClaim(
                        context.workspace().getName(),
                        context.idempotencyKey(),
                        context.fingerprint(),
                        System.currentTimeMillis(),
                        remainingMs());
        long budgetMs =
                Math.min(remainingMs(), parts.settings().getPlatformClient().getClaimBudgetMs());
        parts.claims().acquire(wanted, budgetMs).thenAcceptAsync(this::claimDecided, context.loop());
    }

    private void claimDecided(ClaimOutcome outcome) {
        if (outcome instanceof ClaimOutcome.Held held) {
            claim = held.claim();
            if (answered) {
                giveUpClaim();
            } else {
                runStage(0, context.input());
            }
        } else if (outcome instanceof ClaimOutcome.Recorded recorded) {
            repeat(recorded.answer());
        } else if (outcome instanceof ClaimOutcome.Refused refused) {
            end(refused.reason(), refused.detail(), refused.retryAfterMs());
        }
    }

    private void repeat(Answer recorded) {
        if (!answered) {
            answered = true;
            parts.metrics().repeated();
            sink.answer(recorded, null, true);
        }
        finishOver();
    }

    private void runStage(int index, JsonNode input) {
        StageRun stage = new StageRun(parts, context, index, input, this);
        stages.add(stage);
        stage.begin();
    }

    private StageRun current() {
        return stages.isEmpty() ? null : stages.get(stages.size() - 1);
    }

    @Override
    public void handedOver() {
        handedOver++;
        if (!current().stage().isRepeatable()) {
            onceOnlyHandedOver = true;
        }
    }

    @Override
    public void provedUnrun() {
        handedOver--;
        if (!current().stage().isRepeatable()) {
            onceOnlyHandedOver = false;
        }
    }

    @Override
    public void token(int index, String token) {
        boolean last = stages.size() == context.pipeline().getStages().size();
        if (last && !answered) {
            sink.token(index, token);
        }
    }

    @Override
    public void output(JsonNode output) {
        boolean last = stages.size() == context.pipeline().getStages().size();
        if (answered) {
            recordLate(last ? output : null);
        } else if (last) {
            complete(output);
        } else {
            runStage(stages.size(), output);
        }
    }

    private void complete(JsonNode output) {
        Answer answer = new Answer(context.requestId(), Answer.Outcome.COMPLETE, null, null, null, 0, output, costs());
        answered = true;
        if (claim == null) {
            deliver(answer, null);
            finishOver();
            return;
        }
        CompletableFuture<Void> recorded = parts.claims().record(claim, answer);
        long waitMs = parts.settings().getPlatformClient().getRecordWaitMs();
        recorded.completeOnTimeout(null, Math.max(0, Math.min(waitMs, remainingMs())), TimeUnit.MILLISECONDS)
                .thenRunAsync(
                        () -> {
                            deliver(answer, null);
                            finishOver();
                        },
                        context.loop());
    }

    /** An answer to a stage that runs at most once came after the caller was told that its fate is unknown. */
    private void recordLate(JsonNode output) {
        if (claim != null && onceOnlyHandedOver) {
            Answer answer = output == null
                    ? answerOf(Reason.DEADLINE_PASSED_RUNNING, "the deadline passed after a stage had run", 0)
                    : new Answer(context.requestId(), Answer.Outcome.COMPLETE, null, null, null, 0, output, costs());
            parts.claims().record(claim, answer);
        }
        finishOver();
    }

    @Override
    public void noOutput(StageEnd end, String detail, long retryAfterMs) {
        if (answered) {
            afterUnknown();
            return;
        }
        boolean nothingRan = handedOver == 0;
        long soonMs = retryAfterMs > 0 ? retryAfterMs : parts.retryAfter().jitteredMs(RETRY_SOON_MS);
        switch (end) {
            case NO_ENDPOINT -> end(nothingRan ? Reason.NO_ENDPOINT : Reason.NO_ENDPOINT_LATER, detail, soonMs);
            case QUARANTINED -> end(nothingRan ? Reason.QUARANTINED : Reason.RETRIES_EXHAUSTED, detail, soonMs);
            case ON_TRIAL -> end(nothingRan ? Reason.SUSPECT_ON_TRIAL : Reason.RETRIES_EXHAUSTED, detail, soonMs);
            case EXHAUSTED -> end(nothingRan ? Reason.NO_ENDPOINT : Reason.RETRIES_EXHAUSTED, detail, soonMs);
            case DEADLINE_UNREACHABLE ->
                end(nothingRan ? Reason.DEADLINE_UNREACHABLE : Reason.DEADLINE_UNREACHABLE_LATER, detail, soonMs);
            case STAGE_FAILED -> end(Reason.STAGE_FAILED, detail, 0);
            case UNANSWERED -> end(Reason.STAGE_UNANSWERED, detail, 0);
        }
    }

    /** The stage whose fate was unknown ended without output; if it proved not to have run, its key is free again. */
    private void afterUnknown() {
        if (claim != null && !onceOnlyHandedOver) {
            parts.claims().abandon(claim);
        }
        finishOver();
    }

    private void deadlinePassed() {
        if (answered) {
            return;
        }
        StageRun stage = current();
        boolean onceOnlyInFlight = stage != null && !stage.stage().isRepeatable() && onceOnlyHandedOver;
        if (onceOnlyInFlight) {
            answerUnknown();
            return;
        }
        String detail = "the deadline of " + (context.deadlineMs() - context.arrivedMs()) + " ms passed";
        long soonMs = parts.retryAfter().jitteredMs(RETRY_SOON_MS);
        end(handedOver == 0 ? Reason.DEADLINE_PASSED_WAITING : Reason.DEADLINE_PASSED_RUNNING, detail, soonMs);
    }

    /** The caller gets its answer now; the stage goes on, so that its answer can still be recorded. */
    private void answerUnknown() {
        answered = true;
        Reason reason = Reason.STAGE_UNANSWERED;
        deliver(answerOf(reason, "the stage gave no answer within the deadline", 0), reason);
        context.loop()
                .schedule(
                        () -> {
                            current().cancel();
                            finishOver();
                        },
                        LATE_ANSWER_MS,
                        TimeUnit.MILLISECONDS);
    }

    /** Ends the request because its caller went away; one that holds a key goes on, so that a repeat gets its answer. */
    public void callerGone() {
        if (!answered && !context.needsClaim()) {
            end(handedOver == 0 ? Reason.CALLER_GONE_WAITING : Reason.CALLER_GONE_RUNNING, "the caller went away", 0);
        }
    }

    private void end(Reason reason, String detail, long retryAfterMs) {
        if (answered) {
            finishOver();
            return;
        }
        answered = true;
        if (current() != null) {
            current().cancel();
        }
        Answer answer = answerOf(reason, detail, retryAfterMs);
        deliver(answer, reason);
        settleClaim(reason, answer);
        finishOver();
    }

    private void settleClaim(Reason reason, Answer answer) {
        if (claim == null) {
            return;
        }
        if (!onceOnlyHandedOver) {
            giveUpClaim();
        } else if (reason.outcome() == Answer.Outcome.FAILED) {
            parts.claims().record(claim, answer);
        }
    }

    private void giveUpClaim() {
        parts.claims().abandon(claim);
        finishOver();
    }

    private Answer answerOf(Reason reason, String detail, long retryAfterMs) {
        String stage = current() == null ? null : current().stage().getName();
        return new Answer(
                context.requestId(), reason.outcome(), reason.code(), detail, stage, retryAfterMs, null, costs());
    }

    private List<StageCost> costs() {
        return stages.stream().filter(StageRun::called).map(StageRun::cost).toList();
    }

    private void deliver(Answer answer, Reason reason) {
        if (reason == null) {
            parts.metrics().completed(parts.clock().nowMs() - context.arrivedMs());
        } else {
            parts.metrics().refused(reason);
        }
        answer.getStages()
                .forEach(cost -> parts.metrics().stage(context.pipeline().getName(), cost));
        parts.recent().remember(answer);
        sink.answer(answer, reason, false);
    }

    private void finishOver() {
        if (!over) {
            over = true;
            deadlineTimer.cancel(false);
            whenOver.run();
        }
    }
}
