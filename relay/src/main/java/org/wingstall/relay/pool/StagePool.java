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
import org.wingstall.core.quarantine.Hold;
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
    private final PieceCrashes crashes;
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
        this.crashes = new PieceCrashes(service, parts.quarantine());
        this.load = new PoolLoad(parts.clock());
        this.lines = new TokenBucket(parts.clock());
    }

    /** Takes the pieces of one stage; each is told of its end, unless it was withdrawn before it was at work. */
    void submit(List<PieceTicket> tickets) {
        RetryBudget budget = parts.budgets().of(service);
        tickets.forEach(ticket -> budget.called());
        if (heldBack(tickets)) {
            return;
        }
        spec().ifPresent(spec -> takeNote(spec, tickets.size()));
        waiting.add(group(tickets));
        offer();
    }

    /** One piece that is not made is enough for its request to have no answer. */
    private boolean heldBack(List<PieceTicket> tickets) {
        Optional<Hold> hold = crashes.hold(tickets);
        hold.ifPresent(held -> tickets.stream()
                .filter(ticket -> !ticket.withdrawn())
                .forEach(ticket -> ticket.done(MadePiece.failed(PieceResult.Failure.QUARANTINED, held.againMs()))));
        return hold.isPresent();
    }

    PieceCrashes crashes() {
        return crashes;
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
        return new PieceGroup(tickets, parts.clock().nowMs(), callMs, crashes.suspects(tickets));
    }

    private Optional<PoolSpec> spec() {
        return parts.config().get().service(service).flatMap(found -> found.pool());
    }

    CallPatience patience() {
        return patience;
    }

    /** Records the time that a call took. */
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
        Optional<PoolMoment> now = now();
        now.ifPresent(this::turnAway);
        sendAll(now);
    }

    private void offerAgain() {
        dropEnded();
        sendAll(now());
    }

    /** Returns the pool as it is now; empty when no endpoint serves. */
    private Optional<PoolMoment> now() {
        List<RelayEndpoint> serving = serving();
        return serving.isEmpty()
                ? Optional.empty()
                : spec().map(spec ->
                        new PoolMoment(spec, serving, ledger, parts.clock().nowMs()));
    }

    private void sendAll(Optional<PoolMoment> now) {
        if (waiting.isEmpty()) {
            return;
        }
        if (now.isEmpty()) {
            offerLaterOrFail();
            return;
        }
        send(now.get());
    }

    /** The order holds for the whole turn; each call takes its groups out of it. */
    private void send(PoolMoment now) {
        List<PieceGroup> inOrder = new ArrayList<>(parts.policies().order().sorted(waiting, now.nowMs()));
        Optional<CallPlanner.PlannedCall> planned = plan(inOrder, now);
        while (planned.isPresent()) {
            send(planned.get(), now);
            inOrder.removeIf(group -> group.size() == 0);
            planned = plan(inOrder, now);
        }
        if (!waiting.isEmpty()) {
            offerSoon();
        }
    }

    private Optional<CallPlanner.PlannedCall> plan(List<PieceGroup> inOrder, PoolMoment now) {
        return inOrder.isEmpty()
                ? Optional.empty()
                : parts.policies().planner().next(inOrder, now.makers(stillOpen(now), random), now.spec(), now.nowMs());
    }

    /** A call that was planned a moment ago may have used up what its endpoint takes. */
    private List<RelayEndpoint> stillOpen(PoolMoment now) {
        return parts.limits().open(now.serving(), SendLimits.Chooser.FOR_ALL);
    }

    private void send(CallPlanner.PlannedCall planned, PoolMoment now) {
        List<PieceTicket> batch = new ArrayList<>();
        planned.parts().forEach(part -> batch.addAll(part.group().take(part.pieces())));
        waiting.removeIf(group -> group.size() == 0);
        begin(new PoolCall(parts, this, ledger, now.endpointOf(planned.maker()), now.spec(), batch));
    }

    private void begin(PoolCall call) {
        underWay.add(call);
        parts.limits().sent(call.endpoint());
        call.begin();
    }

    /** Records that a call is over. */
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

    private void turnAway(PoolMoment now) {
        if (waiting.isEmpty()) {
            return;
        }
        PoolForecast forecast = now.forecast(underWay, times);
        double loadNow = load.against(forecast.slotsFreeAtMs().size());
        List<PieceGroup> inOrder = parts.policies().order().sorted(waiting, now.nowMs());
        PoolOutlook outlook = new PoolOutlook(forecast, now::roomAtMs, loadNow);
        List<PoolAdmission.TurnedAway> away = parts.policies().admission().turnedAway(inOrder, outlook, now.nowMs());
        away.forEach(refused -> turnAway(refused, inOrder.size(), loadNow));
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
            rejectBeyondShare();
            offerSoon();
        } else {
            failAll(PieceResult.Failure.NO_ENDPOINT);
        }
    }

    /** Rejects groups whose time ends before any endpoint may be sent one more call. */
    private void rejectBeyondShare() {
        long againMs = parts.limits().againMs(usable(), SendLimits.Chooser.FOR_ALL);
        long againAtMs = parts.clock().nowMs() + againMs;
        List<PieceGroup> hopeless = waiting.stream()
                .filter(group -> againMs > 0 && group.urgency().dueAtMs() <= againAtMs)
                .toList();
        waiting.removeAll(hopeless);
        hopeless.forEach(group -> fail(group, MadePiece.failed(PieceResult.Failure.NOT_IN_TIME, againMs)));
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
        return parts.limits().open(usable(), SendLimits.Chooser.FOR_ALL);
    }

    private List<RelayEndpoint> usable() {
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
        tickets.stream().collect(Collectors.groupingBy(ticket -> ticket.piece().ofStage())).values().stream()
                .filter(ofStage -> !heldBack(ofStage))
                .forEach(ofStage -> waiting.add(group(ofStage)));
    }

    /**
     * Takes pieces back that found no room. They wait for it until their time is over, however often they were offered: room
     * comes with results that lapse, and no call was spent on them.
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
