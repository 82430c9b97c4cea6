package org.wingstall.gateway.run;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.admit.StageTimes;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.quarantine.QuarantineRefusal;
import org.wingstall.core.retry.AttemptTimeouts;
import org.wingstall.core.retry.RetryBudget;
import org.wingstall.core.retry.RetryRules;
import org.wingstall.core.retry.RetryRules.AttemptOutcome;
import org.wingstall.core.route.EndpointState;
import org.wingstall.gateway.run.StageListener.StageEnd;
import org.wingstall.schema.caller.StageCost;
import org.wingstall.schema.table.StageRow;

/**
 * One stage of a request: waits for a slot, calls an endpoint, calls others when that gives no answer. A repeatable stage
 * whose answer is late may be called at a second endpoint as well; the first sign of an answer decides between the two.
 */
final class StageRun extends StageDemand implements StageAttempt.Owner {
    private final int index;
    private final StageListener listener;
    private final ServiceGate gate;
    private final EndpointJudge judge;
    private final RetryBudget budget;
    private final RetryBudget hedgeBudget;
    private final StageExclusions exclusions = new StageExclusions();
    private final StageTokens tokens = new StageTokens();
    private final StageAccount account;
    private final StageCrashes crashes;
    private final List<StageAttempt> live = new ArrayList<>();
    private ScheduledFuture<?> waitTimer;
    private boolean ended;
    private long askedMs;

    StageRun(RunParts parts, RequestContext context, int index, JsonNode input, StageListener listener) {
        super(parts, context, context.pipeline().getStages().get(index), input);
        this.index = index;
        this.listener = listener;
        this.gate = parts.gates().of(stage.getService());
        this.judge = new EndpointJudge(parts, gate);
        this.budget = parts.budgets().of(stage.getService());
        this.hedgeBudget = parts.hedgeBudgets().of(stage.getService());
        this.account = new StageAccount(stage);
        this.crashes = new StageCrashes(parts.quarantine(), context.workspace().getName(), stage.getService(), input);
    }

    StageRow stage() {
        return stage;
    }

    /** Returns what the stage has cost so far. */
    StageCost cost() {
        return account.cost(tokens.count());
    }

    boolean called() {
        return account.attempts() > 0;
    }

    void begin() {
        budget.recordCall();
        hedgeBudget.recordCall();
        ask();
    }

    private void ask() {
        if (heldBack()) {
            return;
        }
        askedMs = parts.clock().nowMs();
        gate.request(this);
        if (live.isEmpty() && !ended) {
            long hopelessInMs = remainingMs() - (long) leftMs();
            waitTimer = context.loop().schedule(this::waitedTooLong, Math.max(1, hopelessInMs), TimeUnit.MILLISECONDS);
        }
    }

    private void askAgain() {
        if (!ended) {
            ask();
        }
    }

    private boolean heldBack() {
        Optional<QuarantineRefusal> hold = crashes.hold();
        hold.ifPresent(held -> {
            StageEnd uncalled = held.reason() == Reason.SUSPECT_ON_TRIAL ? StageEnd.ON_TRIAL : StageEnd.QUARANTINED;
            noOutput(called() ? StageEnd.EXHAUSTED : uncalled, held.detail(), held.retryAfterMs());
        });
        return hold.isPresent();
    }

    private void waitedTooLong() {
        boolean hopeless = live.isEmpty() && !ended && !canLand();
        if (hopeless && gate.withdraw(this)) {
            noOutput(StageEnd.DEADLINE_UNREACHABLE, "no slot at service '" + stage.getService() + "' came in time");
        }
    }

    private boolean canLand() {
        return parts.admission().canMeetDeadline(remainingMs(), leftMs(), 0);
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
        dropAllBut(null);
    }

    /** The first sign of an answer decides between two calls of the stage. */
    private void keepOnly(StageAttempt from) {
        if (live.size() > 1) {
            boolean secondCall = from != live.get(0);
            if (secondCall) {
                parts.metrics().hedgeWon(stage.getService());
            }
            dropAllBut(from);
        }
    }

    private void dropAllBut(StageAttempt kept) {
        for (StageAttempt attempt : List.copyOf(live)) {
            if (attempt != kept) {
                attempt.cancel();
                settle(attempt, true);
            }
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
        account.waited(parts.clock().nowMs() - askedMs);
        crashes.check(endpoint, parts.checks(), context.loop(), alive -> call(endpoint, alive));
    }

    private void call(EndpointState endpoint, boolean alive) {
        if (ended || !canLand()) {
            giveBack(endpoint);
            noOutput(StageEnd.DEADLINE_UNREACHABLE, "the answer can't land within the deadline any more");
            return;
        }
        if (heldBack()) {
            giveBack(endpoint);
            return;
        }
        if (!alive) {
            exclusions.add(endpoint.identity().memberId());
            giveBack(endpoint);
            ask();
            return;
        }
        begin(endpoint);
        armHedge();
    }

    private void begin(EndpointState endpoint) {
        account.called(endpoint.identity().memberId());
        endpoint.prefixes().recordSent(work.prefixDigests());
        StageAttempt attempt = new StageAttempt(
                parts,
                context,
                endpoint,
                work.call(account.attempts(), remainingMs(), tokens.count()),
                work.isEngine(),
                stage.isRepeatable(),
                this);
        live.add(attempt);
        crashes.sent(endpoint);
        attempt.begin();
    }

    private void armHedge() {
        if (stage.isRepeatable() && live.size() == 1 && !crashes.onTrial()) {
            StageTimes times = parts.times().firstProgress(context.pipeline(), stage);
            parts.hedging().delayMs(times).ifPresent(delayMs -> context.loop()
                    .schedule(this::hedge, delayMs, TimeUnit.MILLISECONDS));
        }
    }

    /** Calls a second endpoint if one has room at once; those who wait go before it. */
    private void hedge() {
        boolean late = !ended && live.size() == 1 && !live.get(0).progressed();
        if (!late || !canLand() || !RetryRules.canRetry(account.attempts(), hedgeBudget)) {
            return;
        }
        EndpointState second = gate.grantSpare(this);
        if (second == null) {
            return;
        }
        if (!hedgeBudget.tryRetry()) {
            giveBack(second);
            return;
        }
        parts.metrics().hedged(stage.getService());
        begin(second);
    }

    private void giveBack(EndpointState endpoint) {
        endpoint.release();
        gate.drain();
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
        OptionalLong delayMs = exclusions.readmitOldest();
        if (delayMs.isPresent() && delayMs.getAsLong() + leftMs() < remainingMs()) {
            context.loop().schedule(this::askAgain, delayMs.getAsLong(), TimeUnit.MILLISECONDS);
            return;
        }
        StageEnd end = called() ? StageEnd.EXHAUSTED : StageEnd.NO_ENDPOINT;
        noOutput(end, "no further endpoint of service '" + stage.getService() + "' takes work");
    }

    @Override
    public void handedOver() {
        listener.handedOver();
    }

    @Override
    public boolean token(StageAttempt from, int tokenIndex, String token) {
        keepOnly(from);
        switch (tokens.take(tokenIndex, token)) {
            case NEXT -> listener.token(tokenIndex, token);
            case REPEATED -> parts.metrics().answerDropped();
            case AFTER_A_GAP -> {
                return false;
            }
        }
        return true;
    }

    @Override
    public void streamEnded(StageAttempt from, int sentTokens) {
        if (sentTokens == tokens.count()) {
            answered(from, StageAttempt.textOutput(tokens.text()));
        } else {
            String detail = "the stream ended at token " + sentTokens + ", not " + tokens.count();
            ended(from, AttemptOutcome.MISMATCHED, detail);
        }
    }

    @Override
    public void answered(StageAttempt from, JsonNode output) {
        if (ended) {
            return;
        }
        ended = true;
        long ranMs = from.ranMs();
        keepOnly(from);
        settle(from, false);
        from.endpoint().recordSuccess(ranMs);
        crashes.answered(from.endpoint(), from.beganMs());
        parts.times().whole(context.pipeline(), stage).record(ranMs);
        listener.output(output);
    }

    @Override
    public void endpointAnswered(StageAttempt from) {
        crashes.endpointAnswered(from.endpoint(), from.beganMs());
    }

    @Override
    public void connectionEnded(StageAttempt from) {
        crashes.lost(from.endpoint(), from.beganMs());
        parts.checks().connectionLost(from.endpoint());
    }

    @Override
    public void ended(StageAttempt from, AttemptOutcome end, String detail) {
        if (ended) {
            return;
        }
        boolean wasted = !work.isEngine() || tokens.count() == 0;
        settle(from, wasted);
        judge.ended(from, end);
        exclusions.add(from.endpoint().identity().memberId(), end);
        if (end == AttemptOutcome.REFUSED_UNRUN) {
            listener.provedUnrun();
        }
        boolean otherGoesOn = !live.isEmpty();
        if (otherGoesOn) {
            return;
        }
        switch (RetryRules.decide(end, stage.isRepeatable(), account.attempts(), budget)) {
            case RETRY -> retry(end);
            case UNKNOWN -> noOutput(StageEnd.UNANSWERED, detail);
            case FAILED -> noOutput(StageEnd.STAGE_FAILED, detail);
            case EXHAUSTED -> noOutput(StageEnd.EXHAUSTED, detail);
        }
    }

    @Override
    public boolean moves(StageAttempt from) {
        boolean moves = RetryRules.canRetry(account.attempts(), budget) && gate.offersOther(this, from.endpoint());
        if (!moves) {
            parts.metrics().timeoutKept();
            judge.kept(from);
        }
        return moves;
    }

    private void retry(AttemptOutcome end) {
        parts.metrics().retried(stage.getService(), end.code());
        ask();
    }

    private void settle(StageAttempt done, boolean wasted) {
        crashes.over();
        live.remove(done);
        account.ran(done.ranMs(), wasted);
        giveBack(done.endpoint());
    }

    private void noOutput(StageEnd end, String detail) {
        noOutput(end, detail, 0);
    }

    private void noOutput(StageEnd end, String detail, long retryAfterMs) {
        if (!ended) {
            ended = true;
            listener.noOutput(end, detail, retryAfterMs);
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
        return calls(endpoint) || exclusions.contains(endpoint.identity().memberId());
    }

    /** Asked for every candidate of every call; a loop over nothing costs nothing. */
    private boolean calls(EndpointState endpoint) {
        for (StageAttempt attempt : live) {
            if (attempt.endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }
}
