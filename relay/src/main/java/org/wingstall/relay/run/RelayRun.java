package org.wingstall.relay.run;

import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.answer.RefusedException;
import org.wingstall.core.quarantine.QuarantineRefusal;
import org.wingstall.net.http.HttpCall;
import org.wingstall.relay.config.RegionRestriction;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.config.Workspace;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.engine.EngineAssignment;
import org.wingstall.relay.engine.Prompt;
import org.wingstall.relay.wire.EndpointCall;
import org.wingstall.relay.wire.RelayRequest;

/**
 * Takes one request through its stages to an endpoint and ends it in exactly one answer. Confined to the request loop.
 *
 * <p>A refusal that says the request has not run is given only before the request itself was handed to an endpoint, or
 * after the endpoint stated that it did not run it.
 */
final class RelayRun implements RequestStages.Owner, EndpointAttempt.Owner {
    /** Time before the caller's deadline at which its answer goes out, so that it still arrives, in ms. */
    private static final long DEADLINE_MARGIN_MS = 30;

    /** When a caller is told to come back after a refusal whose cause passes quickly, in ms. */
    private static final long RETRY_AFTER_MS = 300;

    /** Idle time after which a kept connection is not used for requests that may be repeated, in ms. */
    private static final long MAX_REUSE_IDLE_MS = 3000;

    private final RelayContext context;
    private final HttpCall call;
    private final RelayRequest request;
    private final Route route;
    private final Workspace workspace;
    private final Runnable onFinished;
    private final RequestLogEntry record;
    private final RunQuarantine quarantine;
    private final long arrivedMs;
    private final long deadlineAtMs;
    private final RegionRestriction regions;
    private final TargetService service;
    private final EndpointSearch search;
    private final RequestStages stages;
    private final ResponseForwarder response;
    private EndpointAttempt attempt;
    private EngineAssignment engineAssignment;
    private ScheduledFuture<?> timer;
    private boolean finished;
    private int attempts;
    private int possibleRuns;

    RelayRun(
            RelayContext context,
            HttpCall call,
            RelayRequest request,
            Route route,
            Workspace workspace,
            long configVersion,
            Runnable onFinished) {
        this.context = context;
        this.call = call;
        this.request = request;
        this.route = route;
        this.workspace = workspace;
        this.onFinished = onFinished;
        this.arrivedMs = context.clock().nowMs();
        this.deadlineAtMs = arrivedMs + Math.min(route.timeoutMs(), request.deadlineMs() - DEADLINE_MARGIN_MS);
        this.regions = route.regionRestriction().intersect(workspace.regionRestriction());
        this.service = new TargetService(
                context,
                route.selectService(context.random().nextDouble()),
                route,
                regions,
                Prompt.of(request.prompt()));
        this.record = new RequestLogEntry(request, route, workspace.name(), configVersion, arrivedMs);
        this.quarantine = new RunQuarantine(context, record);
        this.search = new EndpointSearch(context, service, request);
        this.stages = new RequestStages(context, request, route, deadlineAtMs, this);
        this.response = new ResponseForwarder(call, route.retryable() && route.streamed());
    }

    void start() {
        call.onDisconnect(this::onCallerDisconnect);
        context.retryBudgets().of(service.name()).recordCall();
        timer = context.loop().schedule(this::onTimeout, Math.max(1, deadlineAtMs - arrivedMs), TimeUnit.MILLISECONDS);
        if (regions.allowsNone()) {
            refuseUntil(
                    Reason.NO_COMMON_REGION,
                    "route '" + route.name() + "' and workspace '" + workspace.name() + "' are bound to other regions",
                    0);
            return;
        }
        if (refuseIfQuarantined()) {
            return;
        }
        if (route.stages().isEmpty()) {
            callEndpoint(List.of());
        } else {
            stages.start(service.urgency(workspace, arrivedMs, deadlineAtMs), service.readerDomain());
        }
    }

    private boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    private long untilTargetMs() {
        return Math.max(0, arrivedMs + route.targetMs() - context.clock().nowMs());
    }

    private long remainingMs() {
        return deadlineAtMs - context.clock().nowMs();
    }

    @Override
    public void stagesDone(List<String> outputs) {
        if (!finished) {
            record.stagesDone(context.clock().nowMs());
            callEndpoint(outputs);
        }
    }

    @Override
    public void stagesRestarted(String detail) {
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
    private boolean refuseIfQuarantined() {
        Optional<QuarantineRefusal> hold = quarantine.refusal();
        hold.ifPresent(this::refuse);
        return hold.isPresent();
    }

    private void refuse(QuarantineRefusal hold) {
        if (response.started()) {
            abortResponse(Reason.ENDPOINT_LOST, hold.detail());
        } else if (mayHaveRun()) {
            refuse(Reason.ENDPOINT_LOST, hold.detail());
        } else {
            refuseUntil(hold.reason(), hold.detail(), hold.retryAfterMs());
        }
    }

    private void callEndpoint(List<String> inputs) {
        if (finished || refuseIfQuarantined()) {
            return;
        }
        search.start(
                quarantine.endpointsToAvoid(), stages.outputPlace(), untilTargetMs(), new EndpointSearch.Listener() {
                    @Override
                    public void found(EngineAssignment engine) {
                        send(engine, inputs);
                    }

                    @Override
                    public void found(RelayEndpoint endpoint) {
                        send(endpoint, null, inputs);
                    }

                    @Override
                    public void atCapacity(long againMs) {
                        waitForCapacity(againMs, inputs);
                    }

                    @Override
                    public void noEndpoint() {
                        refuse(mayHaveRun() ? Reason.ENDPOINT_LOST : Reason.NO_ENDPOINT, service.noEndpointDetail());
                    }
                });
    }

    /** Waits until an endpoint may take more while the answer can still be in time; else tells the caller when to come back. */
    private void waitForCapacity(long againMs, List<String> inputs) {
        if (finished) {
            return;
        }
        String detail = "endpoints of '" + service.name() + "' are cold or state a limit, and take no more for "
                + againMs + " ms";
        if (againMs < untilTargetMs() - service.expectedResponseMs()) {
            record.attemptEnded("waits", detail);
            context.loop().schedule(() -> callEndpoint(inputs), Math.max(1, againMs), TimeUnit.MILLISECONDS);
        } else if (response.started()) {
            abortResponse(Reason.ENDPOINT_LOST, detail);
        } else {
            refuse(mayHaveRun() ? Reason.ENDPOINT_LOST : Reason.ENDPOINTS_BUSY, detail, againMs);
        }
    }

    private void send(EngineAssignment chosen, List<String> inputs) {
        // A loss may have become known while the engine was chosen.
        if (!finished && !refuseIfQuarantined()) {
            engineAssignment = chosen;
            record.engineChosen(chosen, stages.outputPlace());
            send(chosen.endpoint(), chosen.fetchFrom(), inputs);
            long usualMs = Math.max(
                    chosen.estimate().firstAnswerMs(),
                    context.engineSelector().firstAnswerMs(service.name(), service.prompt()));
            EndpointAttempt sent = attempt;
            OverdueResponseCheck.schedule(
                    context, chosen, usualMs, () -> awaitsResponseOf(sent), () -> onEngineUnresponsive(sent, chosen));
        }
    }

    private boolean awaitsResponseOf(EndpointAttempt sent) {
        return !finished && attempt == sent && !response.started();
    }

    /** A request that may be sent once waits on, since its engine may come back; another one is not left to wait there. */
    private void onEngineUnresponsive(EndpointAttempt sent, EngineAssignment chosen) {
        chosen.unreachable();
        if (awaitsResponseOf(sent) && route.retryable() && attempts < route.maxAttempts()) {
            sent.abandon("its first answer is overdue and its engine is silent");
        }
    }

    private void send(RelayEndpoint endpoint, InetSocketAddress fetchFrom, List<String> inputs) {
        quarantine.sent(endpoint);
        service.markTried(endpoint);
        attempts++;
        long reuseIdleMs = route.retryable() ? MAX_REUSE_IDLE_MS : 0;
        EndpointCall wanted = new EndpointCall(
                endpoint.identity(), remainingMs(), workspace.name(), inputs, resumeAfter(), fetchFrom, reuseIdleMs);
        record.attempt(endpoint, context.endpoints().ageMs());
        attempt = new EndpointAttempt(context, request, wanted, endpoint, inputs, quarantine, this);
        attempt.start();
    }

    private String resumeAfter() {
        return response.lastEventId() == null ? request.lastEventId() : response.lastEventId();
    }

    @Override
    public void requestSent() {
        possibleRuns++;
    }

    @Override
    public ResponseForwarder response() {
        return response;
    }

    @Override
    public void firstByte() {
        record.firstByte(context.clock().nowMs());
        if (engineAssignment != null) {
            engineAssignment.answered();
        }
        stages.close();
    }

    @Override
    public void complete(int status) {
        if (!finished) {
            context.metrics().recordCompleted(status, context.clock().nowMs() - arrivedMs);
            finish("complete", status, null);
        }
    }

    @Override
    public void notSent(EndpointAttempt ended, String detail) {
        attempts--;
        record.attemptEnded("not-sent", detail);
        if (engineAssignment != null) {
            engineAssignment.unreachable();
        }
        context.metrics().recordRetry("not-sent");
        callEndpoint(ended.inputs());
    }

    @Override
    public void notRun(EndpointAttempt ended, String detail) {
        possibleRuns--;
        record.attemptEnded("not-run", detail);
        if (tryRetry("not-run")) {
            callEndpoint(ended.inputs());
        } else if (response.started()) {
            abortResponse(Reason.ENDPOINT_LOST, detail);
        } else {
            refuse(Reason.ENDPOINTS_BUSY, detail);
        }
    }

    /** Counts neither as sent nor as an attempt, as the endpoint that was meant is gone. */
    @Override
    public void wrongIncarnation(EndpointAttempt ended, String detail) {
        attempts--;
        notRun(ended, detail);
    }

    @Override
    public void lost(EndpointAttempt ended, String detail) {
        record.attemptEnded("lost", detail);
        boolean again = route.retryable() && response.resumable() && tryRetry("lost");
        if (again) {
            callEndpoint(ended.inputs());
        } else if (response.started()) {
            abortResponse(Reason.ENDPOINT_LOST, detail);
        } else {
            refuse(Reason.ENDPOINT_LOST, detail);
        }
    }

    @Override
    public boolean forwardsFailure(int status) {
        return !(route.retryable() && tryRetry("failed"));
    }

    @Override
    public void failedAtEndpoint(EndpointAttempt ended, int status) {
        record.attemptEnded("failed", "status " + status);
        callEndpoint(ended.inputs());
    }

    private boolean tryRetry(String why) {
        boolean again = attempts < route.maxAttempts()
                && remainingMs() > 0
                && !service.candidates().isEmpty()
                && context.retryBudgets().of(service.name()).tryRetry();
        if (again) {
            context.metrics().recordRetry(why);
        }
        return again;
    }

    private void onTimeout() {
        if (response.started()) {
            return;
        }
        String detail = "no answer within " + (context.clock().nowMs() - arrivedMs) + " ms";
        if (attempt != null) {
            attempt.cancel();
        }
        refuse(mayHaveRun() ? Reason.DEADLINE_PASSED_RUNNING : Reason.DEADLINE_PASSED_WAITING, detail);
    }

    private void onCallerDisconnect() {
        if (finished) {
            return;
        }
        Reason reason = mayHaveRun() ? Reason.CALLER_GONE_RUNNING : Reason.CALLER_GONE_WAITING;
        context.metrics().recordRefusal(reason);
        finish(reason.code(), 0, "the caller closed its connection");
    }

    private void refuse(Reason reason, String detail) {
        refuse(reason, detail, RETRY_AFTER_MS);
    }

    private void refuse(Reason reason, String detail, long roomInMs) {
        refuseUntil(
                reason, detail, mayHaveRun() ? 0 : context.retryAfter().jitteredMs(Math.max(RETRY_AFTER_MS, roomInMs)));
    }

    private void refuseUntil(Reason reason, String detail, long againMs) {
        if (finished) {
            return;
        }
        context.metrics().recordRefusal(reason);
        finish(reason.code(), reason.httpStatus(), detail);
        context.callerProtocol().refuse(call, new RefusedException(reason, detail, againMs));
    }

    /** Ends an answer that can't be finished, so that it does not look whole. */
    private void abortResponse(Reason reason, String detail) {
        if (!finished) {
            context.metrics().recordRefusal(reason);
            finish(reason.code() + "-midway", 0, detail);
            call.abort();
        }
    }

    private void finish(String outcome, int status, String detail) {
        finished = true;
        quarantine.endTrial();
        timer.cancel(false);
        if (attempt != null) {
            attempt.cancel();
        }
        record.stages(stages.progress());
        stages.close();
        context.log()
                .logRequest(record, outcome, status, detail, context.clock().nowMs());
        onFinished.run();
    }
}
