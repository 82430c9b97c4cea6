package org.wingstall.relay.run;

import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.answer.RetryTime;
import org.wingstall.core.quarantine.QuarantineRefusal;
import org.wingstall.relay.config.RegionRestriction;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.config.Workspace;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.engine.EngineAssignment;
import org.wingstall.relay.engine.Prompt;
import org.wingstall.relay.stream.StreamVersion;
import org.wingstall.relay.wire.EndpointCall;
import org.wingstall.relay.wire.RelayRequest;

/**
 * Takes one request through its stages to an endpoint and ends it with one response. Confined to the request loop.
 *
 * <p>States that a request has not run only before it is sent, or after its endpoint stated that it did not run it.
 */
final class RelayRun implements RequestStages.Owner, EndpointAttempt.Owner {
    /** Minimum retry-after time, in ms; used for refusals whose cause passes quickly. */
    private static final long MIN_RETRY_MS = 300;

    /** Time after which a request that waits for the end of a trial looks again, in ms. */
    private static final long TRIAL_POLL_MS = 100;

    private final RelayContext context;
    private final RoutedRequest routed;
    private final RelayRequest request;
    private final Route route;
    private final Workspace workspace;
    private final StreamVersion stream;
    private final Consumer<RelayRun> onFinished;
    private final RequestLogEntry record;
    private final RequestOutcome outcome;
    private final RunQuarantine quarantine;
    private final RequestTimes times;
    private final RegionRestriction regions;
    private final TargetService service;
    private final TargetWait wait;
    private final RequestRetries retries;
    private final EndpointSearch search;
    private final RequestStages stages;
    private final ResponseForwarder response;
    private EndpointAttempt attempt;
    private EngineAssignment engineAssignment;
    private ScheduledFuture<?> timer;
    private int attempts;
    private int possibleRuns;

    RelayRun(RelayContext context, RoutedRequest routed, StreamVersion stream, Consumer<RelayRun> onFinished) {
        this.context = context;
        this.routed = routed;
        this.request = routed.request();
        this.route = routed.route();
        this.workspace = routed.workspace();
        this.stream = stream;
        this.onFinished = onFinished;
        this.times = routed.times();
        this.regions = route.regionRestriction().intersect(workspace.regionRestriction());
        this.service = new TargetService(
                context, routed.service(stream, context.random()), route, regions, Prompt.of(request.prompt()));
        this.record = new RequestLogEntry(request, route, workspace.name(), routed.configVersion(), times.arrivedMs());
        this.outcome = new RequestOutcome(context, routed.call(), record, times, this::release);
        this.quarantine = new RunQuarantine(context, record, service.name(), request);
        this.wait = new TargetWait(context, times, service, record);
        this.retries = new RequestRetries(context, route, times, service);
        this.search = new EndpointSearch(context, service, request);
        this.stages = new RequestStages(context, request, route, times.deadlineAtMs(), this);
        this.response = new ResponseForwarder(routed.call(), route.retryable() && route.streamed());
    }

    void start() {
        routed.call()
                .onDisconnect(() ->
                        outcome.callerGone(mayHaveRun() ? Reason.CALLER_GONE_RUNNING : Reason.CALLER_GONE_WAITING));
        context.retryBudgets().of(service.name()).recordCall();
        timer = context.loop().schedule(this::onTimeout, Math.max(1, times.remainingMs()), TimeUnit.MILLISECONDS);
        if (regions.allowsNone()) {
            outcome.refuse(
                    Reason.NO_COMMON_REGION,
                    "route '" + route.name() + "' and workspace '" + workspace.name() + "' are bound to other regions",
                    0);
            return;
        }
        begin();
    }

    private void begin() {
        if (outcome.finished() || blockedByQuarantine(this::begin) || refuseIfVersionMissing()) {
            return;
        }
        if (route.stages().isEmpty()) {
            callEndpoint(List.of());
        } else {
            stages.start(service.urgency(workspace, times.arrivedMs(), times.deadlineAtMs()), service.readerDomain());
        }
    }

    /** Refuses to resume a stream for which the version that began it is not known, or has no endpoint. */
    private boolean refuseIfVersionMissing() {
        if (stream.bound()) {
            service.requireVersion(stream.version());
            record.streamResumed(stream);
        }
        if (!stream.known()) {
            long retryAfterMs = stream.othersMayKnow() ? context.retryAfter().jitteredMs(MIN_RETRY_MS) : 0;
            outcome.refuse(Reason.STREAM_VERSION_UNKNOWN, stream.unknownDetail(request.resumes()), retryAfterMs);
        } else if (service.versionGone()) {
            refuseWithoutEndpoint();
        }
        return outcome.finished();
    }

    private void refuseWithoutEndpoint() {
        if (service.versionGone() && !mayHaveRun()) {
            outcome.refuse(Reason.STREAM_VERSION_GONE, service.noEndpointDetail(), 0);
        } else {
            refuse(mayHaveRun() ? Reason.ENDPOINT_LOST : Reason.NO_ENDPOINT, service.noEndpointDetail());
        }
    }

    private boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    @Override
    public void stagesDone(List<String> outputs) {
        if (!outcome.finished()) {
            record.stagesDone(times.nowMs());
            callEndpoint(outputs);
        }
    }

    @Override
    public void stagesRestarted(String detail) {
        record.attemptEnded("stages-again", detail, times.nowMs());
    }

    @Override
    public void stagesFailed(Reason reason, String detail, RetryTime retryTime) {
        if (reason == Reason.QUARANTINED) {
            outcome.refuse(reason, detail, retryTime.afterMs());
        } else {
            refuse(reason, detail, retryTime);
        }
    }

    /** Refuses a quarantined request, or delays it until a trial ends; checked before its stages and each attempt. */
    private boolean blockedByQuarantine(Runnable again) {
        Optional<QuarantineRefusal> refusal = quarantine.refusal();
        if (refusal.isPresent() && !waitsForTrial(refusal.get(), again)) {
            refuse(refusal.get());
        }
        return refusal.isPresent();
    }

    private boolean waitsForTrial(QuarantineRefusal refusal, Runnable again) {
        return refusal.reason() == Reason.PROMPT_PART_ON_TRIAL && wait.tryWait(TRIAL_POLL_MS, refusal.detail(), again);
    }

    private void refuse(QuarantineRefusal refusal) {
        if (mayHaveRun()) {
            refuse(Reason.ENDPOINT_LOST, refusal.detail());
        } else {
            outcome.refuse(refusal.reason(), refusal.detail(), refusal.retryAfterMs());
        }
    }

    private void callEndpoint(List<String> inputs) {
        if (outcome.finished() || blockedByQuarantine(() -> callEndpoint(inputs))) {
            return;
        }
        long untilTargetMs = times.untilTargetMs();
        search.start(quarantine.endpointsToAvoid(), stages.outputPlace(), untilTargetMs, new EndpointSearch.Listener() {
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
                refuseWithoutEndpoint();
            }
        });
    }

    /** Waits for capacity if the response can still meet its target; otherwise refuses with a retry-after time. */
    private void waitForCapacity(long retryAfterMs, List<String> inputs) {
        if (outcome.finished()) {
            return;
        }
        String detail = service.atCapacityDetail(retryAfterMs);
        if (!wait.tryWait(retryAfterMs, detail, () -> callEndpoint(inputs))) {
            Reason reason = mayHaveRun() ? Reason.ENDPOINT_LOST : Reason.ENDPOINTS_BUSY;
            refuse(reason, detail, RetryTime.estimated(retryAfterMs));
        }
    }

    private void send(EngineAssignment chosen, List<String> inputs) {
        // Endpoint losses may have been reported while the engine was selected.
        if (!outcome.finished() && !blockedByQuarantine(() -> callEndpoint(inputs))) {
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
        return !outcome.finished() && attempt == sent && !response.started();
    }

    /** Abandons a retryable attempt; a request that must not be sent twice keeps waiting, as its engine may recover. */
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
        EndpointCall endpointCall = routed.callTo(endpoint, inputs, response.lastEventId(), fetchFrom);
        attempt = new EndpointAttempt(context, request, endpointCall, endpoint, inputs, quarantine, record, this);
        attempt.start();
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
        record.firstByte(times.nowMs());
        if (engineAssignment != null) {
            engineAssignment.answered();
        }
        stages.close();
    }

    /** Events of two versions don't fit together. */
    @Override
    public void streamBegan(RelayEndpoint endpoint) {
        if (routed.beginsResumableStream() && !response.started()) {
            context.streamOrigins().began(request.id(), workspace.name(), endpoint, request.deadlineMs());
        }
        service.requireVersion(endpoint.softwareVersion());
    }

    @Override
    public void complete(int status) {
        outcome.complete(status);
    }

    @Override
    public void notSent(EndpointAttempt ended, String detail) {
        attempts--;
        record.attemptEnded("not-sent", detail, times.nowMs());
        if (engineAssignment != null) {
            engineAssignment.unreachable();
        }
        context.metrics().recordRetry("not-sent");
        callEndpoint(ended.inputs());
    }

    @Override
    public void notRun(EndpointAttempt ended, String detail) {
        possibleRuns--;
        record.attemptEnded("not-run", detail, times.nowMs());
        if (retries.tryRetry(attempts, "not-run")) {
            callEndpoint(ended.inputs());
        } else {
            refuse(Reason.ENDPOINTS_BUSY, detail, RetryTime.estimated(service.openInMs()));
        }
    }

    /** Counts neither as sent nor as an attempt, because the intended endpoint no longer exists. */
    @Override
    public void wrongIncarnation(EndpointAttempt ended, String detail) {
        attempts--;
        notRun(ended, detail);
    }

    @Override
    public void lost(EndpointAttempt ended, String detail) {
        record.attemptEnded("lost", detail, times.nowMs());
        boolean retry = route.retryable() && response.resumable() && retries.tryRetry(attempts, "lost");
        if (retry) {
            callEndpoint(ended.inputs());
        } else {
            refuse(Reason.ENDPOINT_LOST, detail);
        }
    }

    /** A request that must not be sent twice keeps waiting, as the path may come back. */
    @Override
    public void directPathLost(EndpointAttempt current) {
        boolean resendable = route.retryable() && response.resumable() && attempts < route.maxAttempts();
        if (current == attempt && resendable) {
            current.giveUp("the direct path to its endpoint is lost");
        }
    }

    @Override
    public boolean forwardsFailure(int status) {
        return !(route.retryable() && retries.tryRetry(attempts, "failed"));
    }

    @Override
    public void failedAtEndpoint(EndpointAttempt ended, int status) {
        record.attemptEnded("failed", "status " + status, times.nowMs());
        callEndpoint(ended.inputs());
    }

    private void onTimeout() {
        if (response.started()) {
            timer = context.loop().schedule(this::onStreamOverdue, RequestTimes.STREAM_END_MS, TimeUnit.MILLISECONDS);
            return;
        }
        String detail = "no answer within " + times.elapsedMs() + " ms";
        cancelAttempt();
        refuse(mayHaveRun() ? Reason.DEADLINE_PASSED_RUNNING : Reason.DEADLINE_PASSED_WAITING, detail);
    }

    /** The endpoint was to end the stream by itself; its connection may have fallen silent. */
    private void onStreamOverdue() {
        outcome.abort(Reason.DEADLINE_PASSED_RUNNING, "no end of the stream within " + times.elapsedMs() + " ms");
    }

    /** Ends the request since its box ends; the caller is told whether it may have run. */
    void endForStop() {
        cancelAttempt();
        refuse(mayHaveRun() ? Reason.STOPPING_RUNNING : Reason.STOPPING, "the planned stop of the box has ended");
    }

    private void refuse(Reason reason, String detail) {
        refuse(reason, detail, RetryTime.UNKNOWN);
    }

    /** A response that has begun can't become a refusal; it is broken off. */
    private void refuse(Reason reason, String detail, RetryTime time) {
        if (response.started()) {
            outcome.abort(Reason.ENDPOINT_LOST, detail);
        } else {
            outcome.refuse(
                    reason, detail, mayHaveRun() ? 0 : context.retryAfter().hintMs(time.atLeast(MIN_RETRY_MS)));
        }
    }

    private void cancelAttempt() {
        if (attempt != null) {
            attempt.cancel();
        }
    }

    private void release() {
        quarantine.endTrial();
        timer.cancel(false);
        cancelAttempt();
        record.stages(stages.progress());
        stages.close();
        onFinished.accept(this);
    }
}
