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
import org.wingstall.core.retry.RetryBudget;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.wire.PieceResult;

/**
 * The pieces of one service that wait, and the calls that carry them to its endpoints. Confined to the request loop.
 *
 * <p>While endpoints are busy pieces gather, so that a call carries pieces of many requests: a call costs much more than
 * a piece. What goes first, what is turned away and what a call carries is decided by the policies in {@link PoolParts}.
 */
final class StagePool {
    private static final Logger LOG = LogManager.getLogger(StagePool.class);

    /** Calls that a piece may be part of; a piece may be made again, and the retry budget bounds the second and third. */
    private static final int MOST_CALLS = 3;

    /** Pause before pieces that an endpoint turned away are offered again, in ms; short against a call. */
    private static final long OFFER_AGAIN_MS = 15;

    /** Lines a second about groups that are turned away; the requests' own lines tell the rest. */
    private static final double LINES_PER_SECOND = 20;

    private final String service;
    private final PoolParts parts;
    private final RoomLedger ledger;
    private final RoomReports room;
    private final ResultFreer freer;
    private final RandomGenerator random;
    private final List<PieceGroup> waiting = new ArrayList<>();
    private final Set<PoolCall> underWay = new HashSet<>();
    private final CallPatience patience = new CallPatience();
    private final CallTimes times = new CallTimes();
    private final PoolLoad load;
    private final TokenBucket lines;
    private boolean offerPlanned;

    /** Until now another box may have gathered, whose results stand uncounted. */
    private long submittedAtMs = Long.MIN_VALUE / 2;

    StagePool(
            String service,
            PoolParts parts,
            RoomLedger ledger,
            RoomReports room,
            ResultFreer freer,
            RandomGenerator random) {
        this.freer = freer;
        this.service = service;
        this.parts = parts;
        this.ledger = ledger;
        this.room = room;
        this.random = random;
        this.load = new PoolLoad(parts.clock());
        this.lines = new TokenBucket(parts.clock());
    }

    /** Takes the pieces of one stage; each is told of its end, unless it was withdrawn before it was at work. */
    void submit(List<PieceTicket> tickets) {
        RetryBudget budget = parts.budgets().of(service);
        tickets.forEach(ticket -> budget.called());
        spec().ifPresent(spec -> takeNote(spec, tickets.size()));
        waiting.add(group(tickets));
        offer();
    }

    private void takeNote(PoolSpec spec, int pieces) {
        long nowMs = parts.clock().nowMs();
        boolean others = nowMs - submittedAtMs > spec.resultLifeMs();
        submittedAtMs = nowMs;
        load.arrived(times.workMs(spec, pieces));
        if (others) {
            room.askAtFirst(serving(), spec);
        }
    }

    private PieceGroup group(List<PieceTicket> tickets) {
        double callMs = spec().map(spec -> times.callMs(spec, Math.min(tickets.size(), spec.batch())))
                .orElse(0.0);
        return new PieceGroup(tickets, parts.clock().nowMs(), callMs);
    }

    private Optional<PoolSpec> spec() {
        return parts.config().get().service(service).flatMap(found -> found.pool());
    }

    CallPatience patience() {
        return patience;
    }

    /** Takes note of the time that a call took. */
    void took(PoolSpec spec, int pieces, long tookMs) {
        patience.answered(spec, pieces, tookMs);
        times.took(spec, pieces, tookMs);
    }

    /** Returns the time that a call is expected to take, in ms. */
    double callMs(PoolSpec spec, int pieces) {
        return times.callMs(spec, pieces);
    }

    /** Returns the time after which a call counts as lost, in ms. */
    long timeoutMs(PoolSpec spec, int pieces) {
        return patience.timeoutMs(
                spec, pieces, parts.endpoints().ofService(service).size());
    }

    /** Returns the pieces that wait. */
    int waiting() {
        return waiting.stream().mapToInt(PieceGroup::size).sum();
    }

    /** Turns away what can't be done in time, and sends the rest to endpoints that have a free slot and room for results. */
    void offer() {
        dropEnded();
        turnAway();
        sendAll();
    }

    private void offerAgain() {
        dropEnded();
        sendAll();
    }

    private void sendAll() {
        while (!waiting.isEmpty()) {
            Optional<PoolSpec> spec = spec();
            List<RelayEndpoint> serving = serving();
            if (spec.isEmpty() || serving.isEmpty()) {
                offerLaterOrFail();
                return;
            }
            if (!sendOne(spec.get(), serving)) {
                offerSoon();
                return;
            }
        }
    }

    private boolean sendOne(PoolSpec spec, List<RelayEndpoint> serving) {
        long nowMs = parts.clock().nowMs();
        List<CallPlanner.Maker> makers =
                serving.stream().map(endpoint -> maker(endpoint, spec)).toList();
        List<PieceGroup> inOrder = parts.policies().order().sorted(waiting, forecast(spec, serving, nowMs), nowMs);
        Optional<CallPlanner.PlannedCall> planned = parts.policies().planner().next(inOrder, makers, spec, nowMs);
        planned.ifPresent(call -> send(call, spec, serving));
        return planned.isPresent();
    }

    private CallPlanner.Maker maker(RelayEndpoint endpoint, PoolSpec spec) {
        return new CallPlanner.Maker(
                endpoint.id(),
                endpoint.identity().failureDomain(),
                spec.slots() - endpoint.state().inFlight(),
                ledger.freeBytes(endpoint.key(), spec.roomBytes()),
                endpoint.state().estimatedLoad() + random.nextDouble() / 2);
    }

    private void send(CallPlanner.PlannedCall planned, PoolSpec spec, List<RelayEndpoint> serving) {
        List<PieceTicket> batch = new ArrayList<>();
        planned.parts().forEach(part -> batch.addAll(part.group().take(part.pieces())));
        waiting.removeIf(group -> group.size() == 0);
        serving.stream()
                .filter(endpoint -> endpoint.id().equals(planned.maker().endpointId()))
                .findFirst()
                .ifPresent(endpoint -> begin(new PoolCall(parts, this, ledger, endpoint, spec, batch)));
    }

    private void begin(PoolCall call) {
        underWay.add(call);
        call.begin();
    }

    /** Takes note that a call is over. */
    void ended(PoolCall call) {
        underWay.remove(call);
        offer();
    }

    /** Has the work that an endpoint holds done elsewhere. */
    void abandon(RelayEndpoint endpoint) {
        List.copyOf(underWay).stream()
                .filter(call -> call.endpointId().equals(endpoint.id()))
                .forEach(PoolCall::abandon);
    }

    void free(MadePiece made) {
        freer.free(made);
    }

    private void turnAway() {
        Optional<PoolSpec> spec = spec();
        List<RelayEndpoint> serving = serving();
        if (spec.isEmpty() || serving.isEmpty() || waiting.isEmpty()) {
            return;
        }
        long nowMs = parts.clock().nowMs();
        PoolForecast forecast = forecast(spec.get(), serving, nowMs);
        double loadNow = load.against(forecast.slotsFreeAtMs().size());
        List<PieceGroup> inOrder = parts.policies().order().sorted(waiting, forecast, nowMs);
        PoolOutlook outlook = new PoolOutlook(forecast, group -> roomAtMs(group, spec.get(), serving), loadNow);
        List<PoolAdmission.TurnedAway> away = parts.policies().admission().turnedAway(inOrder, outlook, nowMs);
        away.forEach(refused -> turnAway(refused, inOrder.size(), loadNow));
    }

    private long roomAtMs(PieceGroup group, PoolSpec spec, List<RelayEndpoint> serving) {
        return serving.stream()
                .mapToLong(endpoint -> ledger.roomAtMs(endpoint.key(), spec.roomBytes(), group.neededBytes(spec)))
                .min()
                .orElse(parts.clock().nowMs());
    }

    private void turnAway(PoolAdmission.TurnedAway refused, int groupsWaiting, double loadNow) {
        PieceGroup group = refused.group();
        waiting.remove(group);
        if (lines.tryTake(LINES_PER_SECOND)) {
            LogEvent.info("pieces-turned-away")
                    .with("service", service)
                    .with("pieces", group.size())
                    .with("rank", group.urgency().rank())
                    .with("dueInMs", group.urgency().dueAtMs() - parts.clock().nowMs())
                    .with("groupsWaiting", groupsWaiting)
                    .with("load", loadNow)
                    .with("againMs", refused.againMs())
                    .to(LOG);
        }
        fail(group, MadePiece.failed(PieceResult.Failure.NOT_IN_TIME, refused.againMs()));
    }

    /** Calls that are over when they should be still hold their slot for as long again, as far as anyone knows. */
    private PoolForecast forecast(PoolSpec spec, List<RelayEndpoint> serving, long nowMs) {
        Set<String> ids = serving.stream().map(RelayEndpoint::id).collect(Collectors.toSet());
        List<Long> freeAtMs = new ArrayList<>();
        for (PoolCall call : underWay) {
            if (ids.contains(call.endpointId())) {
                freeAtMs.add(call.expectedEndAtMs(nowMs));
            }
        }
        for (RelayEndpoint endpoint : serving) {
            for (int slot = endpoint.state().inFlight(); slot < spec.slots(); slot++) {
                freeAtMs.add(nowMs);
            }
        }
        return new PoolForecast(freeAtMs, spec.batch(), pieces -> times.callMs(spec, pieces));
    }

    /** Drops groups that were withdrawn, and ends those whose time is over. */
    private void dropEnded() {
        waiting.removeIf(group -> group.size() == 0);
        long nowMs = parts.clock().nowMs();
        List<PieceGroup> late = waiting.stream()
                .filter(group -> group.urgency().dueAtMs() <= nowMs)
                .toList();
        waiting.removeAll(late);
        late.forEach(group -> fail(group, MadePiece.failed(PieceResult.Failure.LATE)));
    }

    /** Endpoints that are only avoided for a while are waited for. */
    private void offerLaterOrFail() {
        boolean mayComeBack = parts.endpoints().ofService(service).stream()
                .anyMatch(endpoint -> !endpoint.state().leaving());
        if (mayComeBack) {
            offerSoon();
        } else {
            failAll(PieceResult.Failure.NO_ENDPOINT);
        }
    }

    private void failAll(PieceResult.Failure failure) {
        List<PieceGroup> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(group -> fail(group, MadePiece.failed(failure)));
    }

    private static void fail(PieceGroup group, MadePiece failed) {
        group.take(Integer.MAX_VALUE).stream()
                .filter(ticket -> !ticket.withdrawn())
                .forEach(ticket -> ticket.done(failed));
    }

    private List<RelayEndpoint> serving() {
        return parts.endpoints().ofService(service).stream()
                .filter(RelayEndpoint::usable)
                .toList();
    }

    /** Takes pieces back whose call ended without a result for them, and offers them again if that is allowed. */
    void again(List<PieceTicket> tickets, PieceResult.Failure failure) {
        List<PieceTicket> back = new ArrayList<>();
        for (PieceTicket ticket : tickets) {
            boolean allowed =
                    ticket.calls() < MOST_CALLS && parts.budgets().of(service).tryRetry();
            if (ticket.withdrawn()) {
                continue;
            }
            if (allowed) {
                back.add(ticket);
            } else {
                ticket.done(MadePiece.failed(failure));
            }
        }
        queueAgain(back);
        offerSoon();
    }

    /** Lets pieces wait again, those of one stage of a request together. */
    private void queueAgain(List<PieceTicket> tickets) {
        tickets.stream()
                .collect(Collectors.groupingBy(ticket -> ticket.piece().ofStage()))
                .values()
                .forEach(ofStage -> waiting.add(group(ofStage)));
    }

    /**
     * Takes pieces back that found no room. They wait for it until their time is over, however often they were offered: 11 of
     * 21 requests of the first kind were refused after three calls within two seconds of a restart of all boxes.
     */
    void withoutRoom(RelayEndpoint endpoint, List<PieceTicket> tickets) {
        double leastBytes = tickets.stream()
                .mapToDouble(ticket -> ticket.placement().resultBytes())
                .min()
                .orElse(0);
        ledger.noRoom(endpoint.key(), leastBytes);
        tickets.forEach(PieceTicket::notCalled);
        queueAgain(tickets.stream().filter(ticket -> !ticket.withdrawn()).toList());
        offerSoon();
    }

    private void offerSoon() {
        if (!offerPlanned) {
            offerPlanned = true;
            parts.loop()
                    .schedule(
                            () -> {
                                offerPlanned = false;
                                offerAgain();
                            },
                            OFFER_AGAIN_MS,
                            TimeUnit.MILLISECONDS);
        }
    }
}
