package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.limit.TokenBucket;
import org.wingstall.core.quarantine.QuarantineRefusal;
import org.wingstall.core.retry.RetryBudget;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.SendLimits;
import org.wingstall.relay.wire.PieceResult;

/**
 * The pieces of one service that wait, and the calls that carry them to its endpoints. Confined to the request loop.
 *
 * <p>While endpoints are busy pieces gather, so that a call carries pieces of many requests: a call costs much more than
 * a piece. What goes first, what is turned away and what a call carries is decided by the policies in {@link PoolContext}.
 */
final class StagePool {
    private static final Logger LOG = LogManager.getLogger(StagePool.class);

    /** Calls that a piece may be part of; a piece may be made again, and the retry budget bounds the second and third. */
    private static final int MAX_CALLS = 3;

    /** Pause before pieces that an endpoint turned away are offered again, in ms; short against a call. */
    private static final long DISPATCH_RETRY_MS = 15;

    /** Lines a second about groups that are turned away; the requests' own lines tell the rest. */
    private static final double MAX_REJECTION_LINES_PER_SECOND = 20;

    private final String service;
    private final PoolContext context;
    private final ResultCapacityTracker capacity;
    private final RoomReports roomReports;
    private final ResultFreer freer;
    private final RandomGenerator random;
    private final List<PieceGroup> waiting = new ArrayList<>();
    private final Set<PoolCall> activeCalls = new HashSet<>();
    private final CallTimeouts timeouts = new CallTimeouts();
    private final PieceQuarantine pieceQuarantine;
    private final CallTimeEstimator callTimes = new CallTimeEstimator();
    private final PoolLoad load;
    private final TokenBucket rejectionLines;
    private boolean dispatchScheduled;

    /** Until now another box may have gathered, whose results stand uncounted. */
    private long lastSubmittedAtMs = Long.MIN_VALUE / 2;

    StagePool(
            String service,
            PoolContext parts,
            ResultCapacityTracker ledger,
            RoomReports room,
            ResultFreer freer,
            RandomGenerator random) {
        this.freer = freer;
        this.service = service;
        this.context = parts;
        this.capacity = ledger;
        this.roomReports = room;
        this.random = random;
        this.pieceQuarantine = new PieceQuarantine(service, parts.quarantine());
        this.load = new PoolLoad(parts.clock());
        this.rejectionLines = new TokenBucket(parts.clock());
    }

    /** Takes the pieces of one stage; each is told of its end, unless it was withdrawn before it was at work. */
    void submit(List<PieceTask> tickets) {
        RetryBudget budget = context.budgets().of(service);
        tickets.forEach(ticket -> budget.recordCall());
        if (failIfQuarantined(tickets)) {
            return;
        }
        spec().ifPresent(spec -> recordArrival(spec, tickets.size()));
        waiting.add(group(tickets));
        dispatch();
    }

    /** One piece that is not made is enough for its request to have no answer. */
    private boolean failIfQuarantined(List<PieceTask> tickets) {
        Optional<QuarantineRefusal> hold = pieceQuarantine.hold(tickets);
        hold.ifPresent(held -> tickets.stream()
                .filter(ticket -> !ticket.withdrawn())
                .forEach(ticket ->
                        ticket.complete(PieceOutcome.failed(PieceResult.Failure.QUARANTINED, held.retryAfterMs()))));
        return hold.isPresent();
    }

    PieceQuarantine quarantine() {
        return pieceQuarantine;
    }

    private void recordArrival(PoolSpec spec, int pieces) {
        long nowMs = context.clock().nowMs();
        boolean others = nowMs - lastSubmittedAtMs > spec.resultTtlMs();
        lastSubmittedAtMs = nowMs;
        load.recordArrival(callTimes.slotTimeMs(spec, pieces));
        if (others) {
            roomReports.queryInitial(serving(), spec);
        }
    }

    private PieceGroup group(List<PieceTask> tickets) {
        double callMs = spec().map(spec -> callTimes.callMs(spec, Math.min(tickets.size(), spec.maxBatchSize())))
                .orElse(0.0);
        return new PieceGroup(tickets, context.clock().nowMs(), callMs, pieceQuarantine.anySuspected(tickets));
    }

    private Optional<PoolSpec> spec() {
        return context.config().get().service(service).flatMap(found -> found.pool());
    }

    CallTimeouts timeouts() {
        return timeouts;
    }

    /** Records the time that a call took. */
    void recordCallTime(PoolSpec spec, int pieces, long tookMs) {
        timeouts.recordAnswer(spec, pieces, tookMs);
        callTimes.record(spec, pieces, tookMs);
    }

    /** Returns the time that a call is expected to take, in ms. */
    double callMs(PoolSpec spec, int pieces) {
        return callTimes.callMs(spec, pieces);
    }

    /** Returns the time after which a call counts as lost, in ms. */
    long timeoutMs(PoolSpec spec, int pieces) {
        return timeouts.timeoutMs(
                spec, pieces, context.endpoints().ofService(service).size());
    }

    /** Returns the pieces that wait. */
    int waiting() {
        return waiting.stream().mapToInt(PieceGroup::size).sum();
    }

    /** Turns away what can't be done in time, and sends the rest to endpoints that have a free slot and room for results. */
    void dispatch() {
        dropExpired();
        Optional<PoolSnapshot> now = snapshot();
        now.ifPresent(this::reject);
        sendAll(now);
    }

    private void dispatchWithoutAdmission() {
        dropExpired();
        sendAll(snapshot());
    }

    /** Returns the pool as it is now; empty when no endpoint serves. */
    private Optional<PoolSnapshot> snapshot() {
        List<RelayEndpoint> serving = serving();
        return serving.isEmpty()
                ? Optional.empty()
                : spec().map(spec -> new PoolSnapshot(
                        spec, serving, capacity, context.clock().nowMs()));
    }

    private void sendAll(Optional<PoolSnapshot> now) {
        if (waiting.isEmpty()) {
            return;
        }
        if (now.isEmpty()) {
            scheduleDispatchOrFail();
            return;
        }
        send(now.get());
    }

    /** The order holds for the whole turn; each call takes its groups out of it. */
    private void send(PoolSnapshot now) {
        List<PieceGroup> inOrder = new ArrayList<>(context.policies().order().sorted(waiting, now.nowMs()));
        Optional<CallPlanner.PlannedCall> planned = plan(inOrder, now);
        while (planned.isPresent()) {
            send(planned.get(), now);
            inOrder.removeIf(group -> group.size() == 0);
            planned = plan(inOrder, now);
        }
        if (!waiting.isEmpty()) {
            scheduleDispatch();
        }
    }

    private Optional<CallPlanner.PlannedCall> plan(List<PieceGroup> inOrder, PoolSnapshot now) {
        return inOrder.isEmpty()
                ? Optional.empty()
                : context.policies()
                        .planner()
                        .planNext(inOrder, now.capacities(openEndpoints(now), random), now.spec(), now.nowMs());
    }

    /** A call that was planned a moment ago may have used up what its endpoint takes. */
    private List<RelayEndpoint> openEndpoints(PoolSnapshot now) {
        return context.limits().withinLimits(now.serving(), SendLimits.SelectionMode.COORDINATOR);
    }

    private void send(CallPlanner.PlannedCall planned, PoolSnapshot now) {
        List<PieceTask> batch = new ArrayList<>();
        planned.parts().forEach(part -> batch.addAll(part.group().take(part.pieces())));
        waiting.removeIf(group -> group.size() == 0);
        begin(new PoolCall(context, this, capacity, now.endpointOf(planned.endpoint()), now.spec(), batch));
    }

    private void begin(PoolCall call) {
        activeCalls.add(call);
        context.limits().recordSend(call.endpoint());
        call.begin();
    }

    /** Records that a call is over. */
    void callEnded(PoolCall call) {
        activeCalls.remove(call);
        dispatch();
    }

    /** Has the work that an endpoint holds done elsewhere. */
    void abandon(RelayEndpoint endpoint) {
        List.copyOf(activeCalls).stream()
                .filter(call -> call.endpointId().equals(endpoint.id()))
                .forEach(PoolCall::abandon);
    }

    void free(PieceOutcome made) {
        freer.free(made);
    }

    private void reject(PoolSnapshot now) {
        if (waiting.isEmpty()) {
            return;
        }
        PoolForecast forecast = now.forecast(activeCalls, callTimes);
        double loadNow = load.relativeTo(forecast.slotsFreeAtMs().size());
        List<PieceGroup> inOrder = context.policies().order().sorted(waiting, now.nowMs());
        AdmissionContext outlook = new AdmissionContext(forecast, now::capacityAtMs, loadNow);
        List<PoolAdmission.RejectedGroup> away = context.policies().admission().rejected(inOrder, outlook, now.nowMs());
        away.forEach(refused -> reject(refused, inOrder.size(), loadNow));
    }

    private void reject(PoolAdmission.RejectedGroup refused, int groupsWaiting, double loadNow) {
        PieceGroup group = refused.group();
        waiting.remove(group);
        if (rejectionLines.tryTake(MAX_REJECTION_LINES_PER_SECOND)) {
            LogEvent.info("pieces-turned-away")
                    .with("service", service)
                    .with("pieces", group.size())
                    .with("rank", group.urgency().rank())
                    .with(
                            "dueInMs",
                            group.urgency().deadlineAtMs() - context.clock().nowMs())
                    .with("groupsWaiting", groupsWaiting)
                    .with("load", loadNow)
                    .with("againMs", refused.retryAfterMs())
                    .to(LOG);
        }
        fail(group, PieceOutcome.failed(PieceResult.Failure.NOT_IN_TIME, refused.retryAfterMs()));
    }

    /** Drops groups that were withdrawn, and ends those whose time is over. */
    private void dropExpired() {
        waiting.removeIf(group -> group.size() == 0);
        long nowMs = context.clock().nowMs();
        List<PieceGroup> late = waiting.stream()
                .filter(group -> group.urgency().deadlineAtMs() <= nowMs)
                .toList();
        waiting.removeAll(late);
        late.forEach(group -> fail(group, PieceOutcome.failed(PieceResult.Failure.LATE)));
    }

    /** Endpoints that are only avoided for a while are waited for. */
    private void scheduleDispatchOrFail() {
        boolean mayComeBack = context.endpoints().ofService(service).stream()
                .anyMatch(endpoint -> !endpoint.state().leaving());
        if (mayComeBack) {
            rejectBeyondRateShare();
            scheduleDispatch();
        } else {
            failAll(PieceResult.Failure.NO_ENDPOINT);
        }
    }

    /** Rejects groups whose time ends before any endpoint may be sent one more call. */
    private void rejectBeyondRateShare() {
        long againMs = context.limits().retryAfterMs(usable(), SendLimits.SelectionMode.COORDINATOR);
        long againAtMs = context.clock().nowMs() + againMs;
        List<PieceGroup> hopeless = waiting.stream()
                .filter(group -> againMs > 0 && group.urgency().deadlineAtMs() <= againAtMs)
                .toList();
        waiting.removeAll(hopeless);
        hopeless.forEach(group -> fail(group, PieceOutcome.failed(PieceResult.Failure.NOT_IN_TIME, againMs)));
    }

    private void failAll(PieceResult.Failure failure) {
        List<PieceGroup> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(group -> fail(group, PieceOutcome.failed(failure)));
    }

    private static void fail(PieceGroup group, PieceOutcome failed) {
        group.take(Integer.MAX_VALUE).stream()
                .filter(ticket -> !ticket.withdrawn())
                .forEach(ticket -> ticket.complete(failed));
    }

    private List<RelayEndpoint> serving() {
        return context.limits().withinLimits(usable(), SendLimits.SelectionMode.COORDINATOR);
    }

    private List<RelayEndpoint> usable() {
        return context.endpoints().ofService(service).stream()
                .filter(RelayEndpoint::usable)
                .toList();
    }

    /** Takes pieces back whose call ended without a result for them, and offers them again if that is allowed. */
    void retry(List<PieceTask> tickets, PieceResult.Failure failure) {
        List<PieceTask> back = new ArrayList<>();
        for (PieceTask ticket : tickets) {
            boolean allowed =
                    ticket.calls() < MAX_CALLS && context.budgets().of(service).tryRetry();
            if (ticket.withdrawn()) {
                continue;
            }
            if (allowed) {
                back.add(ticket);
            } else {
                ticket.complete(PieceOutcome.failed(failure));
            }
        }
        requeue(back);
        scheduleDispatch();
    }

    /** Lets pieces wait again, those of one stage of a request together. */
    private void requeue(List<PieceTask> tickets) {
        tickets.stream().collect(Collectors.groupingBy(ticket -> ticket.piece().stageId())).values().stream()
                .filter(ofStage -> !failIfQuarantined(ofStage))
                .forEach(ofStage -> waiting.add(group(ofStage)));
    }

    /**
     * Takes pieces back that found no room. They wait for it until their time is over, however often they were offered: room
     * comes with results that lapse, and no call was spent on them.
     */
    void rejectedForRoom(RelayEndpoint endpoint, List<PieceTask> tickets) {
        double leastBytes = tickets.stream()
                .mapToDouble(ticket -> ticket.placement().resultBytes())
                .min()
                .orElse(0);
        capacity.markFull(endpoint.key(), leastBytes);
        tickets.forEach(PieceTask::uncountCall);
        requeue(tickets.stream().filter(ticket -> !ticket.withdrawn()).toList());
        scheduleDispatch();
    }

    private void scheduleDispatch() {
        if (!dispatchScheduled) {
            dispatchScheduled = true;
            context.loop()
                    .schedule(
                            () -> {
                                dispatchScheduled = false;
                                dispatchWithoutAdmission();
                            },
                            DISPATCH_RETRY_MS,
                            TimeUnit.MILLISECONDS);
        }
    }
}
