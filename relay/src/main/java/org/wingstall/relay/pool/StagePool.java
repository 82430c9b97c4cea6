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
import org.wingstall.core.answer.RetryTime;
import org.wingstall.core.limit.TokenBucket;
import org.wingstall.core.quarantine.QuarantineRefusal;
import org.wingstall.core.retry.RetryBudget;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.wire.PieceResult;

/**
 * Queues the pieces of one service and sends them to its endpoints in batched calls. Confined to the request loop.
 *
 * <p>While all endpoints are busy, pieces queue up, so that the next call carries pieces of many requests: the fixed
 * cost of a call is much higher than the cost of a piece. The policies in {@link PoolContext} decide the order of the
 * pieces, which of them are rejected, and which share a call.
 */
final class StagePool {
    private static final Logger LOG = LogManager.getLogger(StagePool.class);

    /** Maximum calls for one piece. Pieces are safe to repeat; the retry budget limits the second and third call. */
    private static final int MAX_CALLS = 3;

    /** Delay before waiting pieces are dispatched again, in ms; short compared with a call. */
    private static final long DISPATCH_RETRY_MS = 15;

    /** Maximum log lines a second about rejected groups; each request writes its own log line as well. */
    private static final double MAX_REJECTION_LINES_PER_SECOND = 20;

    private final String service;
    private final PoolContext context;
    private final PoolEndpoints endpoints;
    private final ResultCapacityTracker capacity;
    private final RoomReports roomReports;
    private final ResultFreer freer;
    private final RandomGenerator random;
    private final List<PieceGroup> waiting = new ArrayList<>();
    private final Set<PoolCall> activeCalls = new HashSet<>();
    private final PieceQuarantine pieceQuarantine;
    private final EndpointCallTimes callTimes;
    private final PoolLoad load;
    private final RetryTimes retryTimes;
    private final PoolWaits waits;
    private final TokenBucket rejectionLines;
    private boolean dispatchScheduled;

    /**
     * Before this time another box may have been the coordinator; this box has not counted the results of its pieces.
     */
    private long lastSubmittedAtMs = Long.MIN_VALUE / 2;

    StagePool(
            String service,
            PoolContext context,
            ResultCapacityTracker capacity,
            RoomReports roomReports,
            ResultFreer freer,
            RandomGenerator random) {
        this.freer = freer;
        this.service = service;
        this.context = context;
        this.endpoints = new PoolEndpoints(service, context);
        this.capacity = capacity;
        this.roomReports = roomReports;
        this.random = random;
        this.pieceQuarantine = new PieceQuarantine(service, context.quarantine());
        this.callTimes =
                new EndpointCallTimes(context.clock(), context.policies().adaptive());
        this.load = new PoolLoad(context.clock());
        this.retryTimes = context.policies().newRetryTimes().get();
        this.waits = new PoolWaits(context.clock());
        this.rejectionLines = new TokenBucket(context.clock());
    }

    /** Queues the pieces of one stage. Each task is completed, unless it is withdrawn before its call starts. */
    void submit(List<PieceTask> tasks) {
        RetryBudget budget = context.budgets().of(service);
        tasks.forEach(task -> budget.recordCall());
        if (failIfQuarantined(tasks)) {
            return;
        }
        spec().ifPresent(spec -> recordArrival(spec, tasks.size()));
        waiting.add(group(tasks));
        dispatch();
    }

    /** Fails all pieces if one is quarantined: without its result the request can't be answered. */
    private boolean failIfQuarantined(List<PieceTask> tasks) {
        Optional<QuarantineRefusal> refusal = pieceQuarantine.refusal(tasks);
        refusal.ifPresent(quarantined -> tasks.stream()
                .filter(task -> !task.withdrawn())
                .forEach(task -> task.complete(PieceOutcome.failed(
                        PieceResult.Failure.QUARANTINED, RetryTime.estimated(quarantined.retryAfterMs())))));
        return refusal.isPresent();
    }

    PieceQuarantine quarantine() {
        return pieceQuarantine;
    }

    private void recordArrival(PoolSpec spec, int pieces) {
        long nowMs = context.clock().nowMs();
        boolean others = nowMs - lastSubmittedAtMs > spec.resultTtlMs();
        lastSubmittedAtMs = nowMs;
        load.recordArrival(callTimes.usual().slotTimeMs(spec, pieces));
        if (others) {
            roomReports.queryInitial(endpoints.serving(), spec);
        }
    }

    private PieceGroup group(List<PieceTask> tasks) {
        double callMs = spec().map(spec -> callTimes.usual().callMs(spec, Math.min(tasks.size(), spec.maxBatchSize())))
                .orElse(0.0);
        return new PieceGroup(tasks, context.clock().nowMs(), callMs, pieceQuarantine.anySuspected(tasks));
    }

    private Optional<PoolSpec> spec() {
        return context.config().get().service(service).flatMap(found -> found.pool());
    }

    EndpointCallTimes callTimes() {
        return callTimes;
    }

    /** Returns the number of listed endpoints of the service. */
    int endpointCount() {
        return endpoints.all().size();
    }

    /** Returns the wait of a group of the rank that arrives now, in ms; 0 while the pool is not overloaded. */
    long waitMs(int rank) {
        return waiting.isEmpty() ? 0 : waits.waitMs(rank, () -> forecastWaitMs(rank));
    }

    private long forecastWaitMs(int rank) {
        return snapshot()
                .map(current -> PoolWaits.forecastMs(waiting, rank, current.forecast(activeCalls), current.nowMs()))
                .orElse(0L);
    }

    /** Returns the number of queued pieces. */
    int waiting() {
        return waiting.stream().mapToInt(PieceGroup::size).sum();
    }

    /**
     * Rejects groups that can't finish in time, and sends the others to endpoints with a free slot and result capacity.
     */
    void dispatch() {
        dropExpired();
        Optional<PoolSnapshot> snapshot = snapshot();
        snapshot.ifPresent(this::reject);
        sendAll(snapshot);
    }

    private void dispatchWithoutAdmission() {
        dropExpired();
        sendAll(snapshot());
    }

    /** Returns the current state of the pool; empty when no endpoint can be called. */
    private Optional<PoolSnapshot> snapshot() {
        List<RelayEndpoint> serving = endpoints.serving();
        return serving.isEmpty()
                ? Optional.empty()
                : spec().map(spec -> new PoolSnapshot(
                        spec, serving, capacity, callTimes, context.clock().nowMs()));
    }

    private void sendAll(Optional<PoolSnapshot> snapshot) {
        if (waiting.isEmpty()) {
            return;
        }
        if (snapshot.isEmpty()) {
            scheduleDispatchOrFail();
            return;
        }
        send(snapshot.get());
    }

    /** Sends as many calls as possible. The groups are sorted once; each call removes the groups that it carries. */
    private void send(PoolSnapshot snapshot) {
        List<PieceGroup> inOrder = new ArrayList<>(context.policies().order().sorted(waiting, snapshot.nowMs()));
        Optional<CallPlanner.PlannedCall> planned = plan(inOrder, snapshot);
        while (planned.isPresent()) {
            send(planned.get(), snapshot);
            inOrder.removeIf(group -> group.size() == 0);
            planned = plan(inOrder, snapshot);
        }
        if (!waiting.isEmpty()) {
            scheduleDispatch();
        }
    }

    private Optional<CallPlanner.PlannedCall> plan(List<PieceGroup> inOrder, PoolSnapshot snapshot) {
        return inOrder.isEmpty()
                ? Optional.empty()
                : context.policies()
                        .planner()
                        .planNext(
                                inOrder,
                                snapshot.capacities(openEndpoints(snapshot), activeCalls, random),
                                snapshot.spec(),
                                snapshot.nowMs());
    }

    /**
     * Checks the rate limits again, since an earlier call of the same dispatch may have used up an endpoint's limit.
     */
    private List<RelayEndpoint> openEndpoints(PoolSnapshot snapshot) {
        return endpoints.withinLimits(snapshot.serving());
    }

    private void send(CallPlanner.PlannedCall planned, PoolSnapshot snapshot) {
        List<PieceTask> batch = new ArrayList<>();
        planned.parts().forEach(part -> batch.addAll(part.group().take(part.pieces())));
        waiting.removeIf(group -> group.size() == 0);
        begin(new PoolCall(context, this, capacity, snapshot.endpointOf(planned.endpoint()), snapshot.spec(), batch));
    }

    private void begin(PoolCall call) {
        activeCalls.add(call);
        context.limits().recordSend(call.endpoint());
        call.begin();
    }

    /** Removes a finished call and dispatches waiting pieces to the slot that it frees. */
    void callEnded(PoolCall call) {
        activeCalls.remove(call);
        dispatch();
    }

    /** Abandons all calls to an endpoint; their pieces are retried. */
    void abandon(RelayEndpoint endpoint) {
        List.copyOf(activeCalls).stream()
                .filter(call -> call.endpointId().equals(endpoint.id()))
                .forEach(PoolCall::abandon);
    }

    void free(PieceOutcome outcome) {
        freer.free(outcome);
    }

    private void reject(PoolSnapshot snapshot) {
        if (waiting.isEmpty()) {
            return;
        }
        PoolForecast forecast = snapshot.forecast(activeCalls);
        double slots = forecast.usualSlots();
        double loadNow = load.relativeTo(slots);
        List<PieceGroup> inOrder = context.policies().order().sorted(waiting, snapshot.nowMs());
        AdmissionContext admissionContext =
                new AdmissionContext(forecast, snapshot::capacityAtMs, loadNow, load.usualRelativeTo(slots));
        List<PoolAdmission.RejectedGroup> rejectedGroups =
                context.policies().admission().rejected(inOrder, admissionContext, snapshot.nowMs());
        for (PoolAdmission.RejectedGroup rejected : rejectedGroups) {
            RetryTime retryTime = retryTimes.retryTime(rejected, admissionContext, snapshot.nowMs());
            reject(rejected.group(), retryTime, inOrder.size(), loadNow);
        }
    }

    private void reject(PieceGroup group, RetryTime retryTime, int groupsWaiting, double loadNow) {
        waiting.remove(group);
        if (rejectionLines.tryTake(MAX_REJECTION_LINES_PER_SECOND)) {
            LogEvent.info("pieces-turned-away")
                    .with("service", service)
                    .with("pieces", group.size())
                    .with("rank", group.urgency().rank())
                    .with("dueInMs", group.urgency().remainingMs(context.clock()))
                    .with("groupsWaiting", groupsWaiting)
                    .with("load", loadNow)
                    .with("laterWaitMs", group.urgency().laterWaitMs())
                    .with("againMs", retryTime.afterMs())
                    .to(LOG);
        }
        fail(group, PieceOutcome.failed(PieceResult.Failure.NOT_IN_TIME, retryTime));
    }

    /** Removes withdrawn groups, and fails groups that are past their deadline. */
    private void dropExpired() {
        waiting.removeIf(group -> group.size() == 0);
        long nowMs = context.clock().nowMs();
        List<PieceGroup> expired = waiting.stream()
                .filter(group -> group.urgency().deadlineAtMs() <= nowMs)
                .toList();
        waiting.removeAll(expired);
        expired.forEach(group -> fail(group, PieceOutcome.failed(PieceResult.Failure.LATE)));
    }

    /**
     * Keeps pieces queued while an endpoint may become usable again; fails them when all endpoints are gone or leaving.
     */
    private void scheduleDispatchOrFail() {
        if (endpoints.mayComeBack()) {
            rejectBeyondRateShare();
            scheduleDispatch();
        } else {
            failAll(PieceResult.Failure.NO_ENDPOINT);
        }
    }

    /** Rejects groups whose deadline is before any endpoint takes another call. */
    private void rejectBeyondRateShare() {
        long retryAfterMs = endpoints.nextCallInMs();
        long againAtMs = context.clock().nowMs() + retryAfterMs;
        List<PieceGroup> unservable = waiting.stream()
                .filter(group -> retryAfterMs > 0 && group.urgency().deadlineAtMs() <= againAtMs)
                .toList();
        waiting.removeAll(unservable);
        RetryTime retryTime = RetryTime.estimated(retryAfterMs);
        unservable.forEach(group -> fail(group, PieceOutcome.failed(PieceResult.Failure.NOT_IN_TIME, retryTime)));
    }

    private void failAll(PieceResult.Failure failure) {
        List<PieceGroup> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(group -> fail(group, PieceOutcome.failed(failure)));
    }

    private static void fail(PieceGroup group, PieceOutcome failed) {
        group.take(Integer.MAX_VALUE).stream().filter(task -> !task.withdrawn()).forEach(task -> task.complete(failed));
    }

    /** Retries pieces whose call ended without a result, within the maximum number of calls and the retry budget. */
    void retry(List<PieceTask> tasks, PieceResult.Failure failure) {
        List<PieceTask> back = new ArrayList<>();
        for (PieceTask task : tasks) {
            boolean allowed =
                    task.calls() < MAX_CALLS && context.budgets().of(service).tryRetry();
            if (task.withdrawn()) {
                continue;
            }
            if (allowed) {
                back.add(task);
            } else {
                task.complete(PieceOutcome.failed(failure));
            }
        }
        requeue(back);
        scheduleDispatch();
    }

    /** Queues pieces again, grouped by stage and request. */
    private void requeue(List<PieceTask> tasks) {
        tasks.stream().collect(Collectors.groupingBy(task -> task.piece().stageId())).values().stream()
                .filter(stageTasks -> !failIfQuarantined(stageTasks))
                .forEach(stageTasks -> waiting.add(group(stageTasks)));
    }

    /**
     * Queues pieces again that an endpoint rejected for lack of result capacity. They wait until their deadline,
     * however often they were rejected: capacity is freed when results expire, and the rejected call did no work.
     */
    void requeueWithoutCapacity(RelayEndpoint endpoint, List<PieceTask> tasks) {
        double leastBytes = tasks.stream()
                .mapToDouble(task -> task.placement().resultBytes())
                .min()
                .orElse(0);
        capacity.markFull(endpoint.key(), leastBytes);
        tasks.forEach(PieceTask::uncountCall);
        requeue(tasks.stream().filter(task -> !task.withdrawn()).toList());
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
