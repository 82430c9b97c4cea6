package org.wingstall.relay.run;

import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.answer.RefusedException;
import org.wingstall.core.quarantine.Hold;
import org.wingstall.net.http.HttpCall;
import org.wingstall.relay.config.Homes;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.config.Workspace;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.engine.EngineTicket;
import org.wingstall.relay.engine.Prompt;
import org.wingstall.relay.wire.EndpointCall;
import org.wingstall.relay.wire.RelayRequest;

/**
 * Takes one request through its stages to an endpoint and ends it in exactly one answer. Confined to the request loop.
 *
 * <p>A refusal that says the request has not run is given only before the request itself was handed to an endpoint, or
 * after the endpoint stated that it did not run it.
 */
final class RelayRun implements RunStages.Owner, EndpointAttempt.Owner {
    /** Time before the caller's deadline at which its answer goes out, so that it still arrives, in ms. */
    private static final long ANSWER_LEAD_MS = 30;

    /** When a caller is told to come back after a refusal whose cause passes quickly, in ms. */
    private static final long SOON_MS = 300;

    /** Idle time after which a kept connection is not used for requests that may be repeated, in ms. */
    private static final long REUSE_IDLE_MS = 3000;

    private final RelayParts parts;
    private final HttpCall call;
    private final RelayRequest request;
    private final Route route;
    private final Workspace workspace;
    private final Runnable whenOver;
    private final RunRecord record;
    private final CrashGuard crashes;
    private final long arrivedMs;
    private final long dueAtMs;
    private final Homes homes;
    private final RunService service;
    private final EndpointSearch search;
    private final RunStages stages;
    private final AnswerRelay answer;
    private EndpointAttempt attempt;
    private EngineTicket engine;
    private ScheduledFuture<?> timer;
    private boolean over;
    private int attempts;
    private int handedOver;

    RelayRun(
            RelayParts parts,
            HttpCall call,
            RelayRequest request,
            Route route,
            Workspace workspace,
            long configVersion,
            Runnable whenOver) {
        this.parts = parts;
        this.call = call;
        this.request = request;
        this.route = route;
        this.workspace = workspace;
        this.whenOver = whenOver;
        this.arrivedMs = parts.clock().nowMs();
        this.dueAtMs = arrivedMs + Math.min(route.timeoutMs(), request.deadlineMs() - ANSWER_LEAD_MS);
        this.homes = route.homes().and(workspace.homes());
        this.service = new RunService(
                parts, route.service(parts.random().nextDouble()), route, homes, Prompt.of(request.prompt()));
        this.record = new RunRecord(request, route, workspace.name(), configVersion, arrivedMs);
        this.crashes = new CrashGuard(parts, record);
        this.search = new EndpointSearch(parts, service, request);
        this.stages = new RunStages(parts, request, route, dueAtMs, this);
        this.answer = new AnswerRelay(call, route.repeatable() && route.streamed());
    }

    void begin() {
        call.onDisconnect(this::callerGone);
        parts.budgets().of(service.name()).called();
        timer = parts.loop().schedule(this::timePassed, Math.max(1, dueAtMs - arrivedMs), TimeUnit.MILLISECONDS);
        if (homes.nowhere()) {
            refuseUntil(
                    Reason.NO_COMMON_REGION,
                    "route '" + route.name() + "' and workspace '" + workspace.name() + "' are bound to other regions",
                    0);
            return;
        }
        if (heldBack()) {
            return;
        }
        if (route.stages().isEmpty()) {
            callEndpoint(List.of());
        } else {
            stages.begin(service.urgency(workspace, arrivedMs, dueAtMs), service.readerDomain());
        }
    }

    private boolean mayHaveRun() {
        return handedOver > 0;
    }

    private long untilTargetMs() {
        return Math.max(0, arrivedMs + route.targetMs() - parts.clock().nowMs());
    }

    private long remainingMs() {
        return dueAtMs - parts.clock().nowMs();
    }

    @Override
    public void stagesDone(List<String> outputs) {
        if (!over) {
            record.stagesDone(parts.clock().nowMs());
            callEndpoint(outputs);
        }
    }

    @Override
    public void stagesAgain(String detail) {
        record.attemptEnded("stages-again", detail);
    }

    @Override
    public void stagesFailed(Reason reason, String detail, long againMs) {
        if (reason == Reason.QUARANTINED) {
            refuseUntil(reason, detail, againMs);
        } else {
            refuse(reason, detail, againMs);
        }
    }

    /** Ends a request that crashes endpoints, before its stages, before it is sent, and before it is sent again. */
    private boolean heldBack() {
        Optional<Hold> hold = crashes.hold();
        hold.ifPresent(this::refuse);
        return hold.isPresent();
    }

    private void refuse(Hold hold) {
        if (answer.begun()) {
            cutOff(Reason.ENDPOINT_LOST, hold.detail());
        } else if (mayHaveRun()) {
            refuse(Reason.ENDPOINT_LOST, hold.detail());
        } else {
            refuseUntil(hold.reason(), hold.detail(), hold.againMs());
        }
    }

    private void callEndpoint(List<String> inputs) {
        if (over || heldBack()) {
            return;
        }
        search.begin(crashes.shunned(), stages.outputPlace(), untilTargetMs(), new EndpointSearch.Listener() {
            @Override
            public void found(EngineTicket engine) {
                send(engine, inputs);
            }

            @Override
            public void found(RelayEndpoint endpoint) {
                send(endpoint, null, inputs);
            }

            @Override
            public void notNow(long againMs) {
                waitForShare(againMs, inputs);
            }

            @Override
            public void none() {
                refuse(mayHaveRun() ? Reason.ENDPOINT_LOST : Reason.NO_ENDPOINT, service.whyNone());
            }
        });
    }

    /** Waits until an endpoint may take more while the answer can still be in time; else tells the caller when to come back. */
    private void waitForShare(long againMs, List<String> inputs) {
        if (over) {
            return;
        }
        String detail = "endpoints of '" + service.name() + "' are cold or state a limit, and take no more for "
                + againMs + " ms";
        if (againMs < untilTargetMs() - service.answerMs()) {
            record.attemptEnded("waits", detail);
            parts.loop().schedule(() -> callEndpoint(inputs), Math.max(1, againMs), TimeUnit.MILLISECONDS);
        } else if (answer.begun()) {
            cutOff(Reason.ENDPOINT_LOST, detail);
        } else {
            refuse(mayHaveRun() ? Reason.ENDPOINT_LOST : Reason.ENDPOINTS_BUSY, detail, againMs);
        }
    }

    private void send(EngineTicket chosen, List<String> inputs) {
        // A loss may have become known while the engine was chosen.
        if (!over && !heldBack()) {
            engine = chosen;
            record.engine(chosen, stages.outputPlace());
            send(chosen.endpoint(), chosen.fetchFrom(), inputs);
            long usualMs = Math.max(
                    chosen.expectation().firstAnswerMs(),
                    parts.engines().firstAnswerMs(service.name(), service.prompt()));
            EndpointAttempt sent = attempt;
            OverdueAnswer.watch(parts, chosen, usualMs, () -> waitsFor(sent), () -> engineSilent(sent, chosen));
        }
    }

    private boolean waitsFor(EndpointAttempt sent) {
        return !over && attempt == sent && !answer.begun();
    }

    /** A request that may be sent once waits on, since its engine may come back; another one is not left to wait there. */
    private void engineSilent(EndpointAttempt sent, EngineTicket chosen) {
        chosen.unreachable();
        if (waitsFor(sent) && route.repeatable() && attempts < route.maxAttempts()) {
            sent.breakOff("its first answer is overdue and its engine is silent");
        }
    }

    private void send(RelayEndpoint endpoint, InetSocketAddress fetchFrom, List<String> inputs) {
        crashes.sent(endpoint);
        service.asked(endpoint);
        attempts++;
        long reuseIdleMs = route.repeatable() ? REUSE_IDLE_MS : 0;
        EndpointCall wanted = new EndpointCall(
                endpoint.identity(), remainingMs(), workspace.name(), inputs, resumeAfter(), fetchFrom, reuseIdleMs);
        record.attempt(endpoint, parts.endpoints().ageMs());
        attempt = new EndpointAttempt(parts, request, wanted, endpoint, inputs, crashes, this);
        attempt.begin();
    }

    private String resumeAfter() {
        return answer.lastEventId() == null ? request.lastEventId() : answer.lastEventId();
    }

    @Override
    public void handedOver() {
        handedOver++;
    }

    @Override
    public AnswerRelay answer() {
        return answer;
    }

    @Override
    public void firstByte() {
        record.firstByte(parts.clock().nowMs());
        if (engine != null) {
            engine.answered();
        }
        stages.close();
    }

    @Override
    public void complete(int status) {
        if (!over) {
            parts.metrics().completed(status, parts.clock().nowMs() - arrivedMs);
            finish("complete", status, null);
        }
    }

    @Override
    public void unsent(EndpointAttempt ended, String detail) {
        attempts--;
        record.attemptEnded("not-sent", detail);
        if (engine != null) {
            engine.unreachable();
        }
        parts.metrics().retried("not-sent");
        callEndpoint(ended.inputs());
    }

    @Override
    public void notRun(EndpointAttempt ended, String detail) {
        handedOver--;
        record.attemptEnded("not-run", detail);
        if (maySendAgain("not-run")) {
            callEndpoint(ended.inputs());
        } else if (answer.begun()) {
            cutOff(Reason.ENDPOINT_LOST, detail);
        } else {
            refuse(Reason.ENDPOINTS_BUSY, detail);
        }
    }

    /** Counts neither as sent nor as an attempt, as the endpoint that was meant is gone. */
    @Override
    public void misdirected(EndpointAttempt ended, String detail) {
        attempts--;
        notRun(ended, detail);
    }

    @Override
    public void lost(EndpointAttempt ended, String detail) {
        record.attemptEnded("lost", detail);
        boolean again = route.repeatable() && answer.resumable() && maySendAgain("lost");
        if (again) {
            callEndpoint(ended.inputs());
        } else if (answer.begun()) {
            cutOff(Reason.ENDPOINT_LOST, detail);
        } else {
            refuse(Reason.ENDPOINT_LOST, detail);
        }
    }

    @Override
    public boolean failedAnswerIsFinal(int status) {
        return !(route.repeatable() && maySendAgain("failed"));
    }

    @Override
    public void failedAtEndpoint(EndpointAttempt ended, int status) {
        record.attemptEnded("failed", "status " + status);
        callEndpoint(ended.inputs());
    }

    private boolean maySendAgain(String why) {
        boolean again = attempts < route.maxAttempts()
                && remainingMs() > 0
                && !service.candidates().isEmpty()
                && parts.budgets().of(service.name()).tryRetry();
        if (again) {
            parts.metrics().retried(why);
        }
        return again;
    }

    private void timePassed() {
        if (answer.begun()) {
            return;
        }
        String detail = "no answer within " + (parts.clock().nowMs() - arrivedMs) + " ms";
        if (attempt != null) {
            attempt.cancel();
        }
        refuse(mayHaveRun() ? Reason.DEADLINE_PASSED_RUNNING : Reason.DEADLINE_PASSED_WAITING, detail);
    }

    private void callerGone() {
        if (over) {
            return;
        }
        Reason reason = mayHaveRun() ? Reason.CALLER_GONE_RUNNING : Reason.CALLER_GONE_WAITING;
        parts.metrics().refused(reason);
        finish(reason.code(), 0, "the caller closed its connection");
    }

    private void refuse(Reason reason, String detail) {
        refuse(reason, detail, SOON_MS);
    }

    private void refuse(Reason reason, String detail, long roomInMs) {
        refuseUntil(reason, detail, mayHaveRun() ? 0 : parts.retryAfter().spreadMs(Math.max(SOON_MS, roomInMs)));
    }

    private void refuseUntil(Reason reason, String detail, long againMs) {
        if (over) {
            return;
        }
        parts.metrics().refused(reason);
        finish(reason.code(), reason.httpStatus(), detail);
        parts.callers().refuse(call, new RefusedException(reason, detail, againMs));
    }

    /** Ends an answer that can't be finished, so that it does not look whole. */
    private void cutOff(Reason reason, String detail) {
        if (!over) {
            parts.metrics().refused(reason);
            finish(reason.code() + "-midway", 0, detail);
            call.abort();
        }
    }

    private void finish(String outcome, int status, String detail) {
        over = true;
        crashes.over();
        timer.cancel(false);
        if (attempt != null) {
            attempt.cancel();
        }
        record.stages(stages.progress());
        stages.close();
        parts.log().ended(record, outcome, status, detail, parts.clock().nowMs());
        whenOver.run();
    }
}
