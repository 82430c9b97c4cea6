package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.wingstall.core.retry.RetryBudget;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.wire.PieceResult;

/**
 * The pieces of one service that wait, and the calls that carry them to its endpoints. Confined to the request loop.
 *
 * <p>While endpoints are busy pieces gather, so that a call carries pieces of many requests: a call costs much more than
 * a piece.
 */
final class StagePool {
    /** Calls that a piece may be part of; a piece may be made again, and the retry budget bounds the second and third. */
    private static final int MOST_CALLS = 3;

    /** Pause before pieces that an endpoint turned away are offered again, in ms; short against a call. */
    private static final long OFFER_AGAIN_MS = 15;

    private final String service;
    private final PoolParts parts;
    private final RoomLedger ledger;
    private final RandomGenerator random;
    private final List<PieceGroup> waiting = new ArrayList<>();
    private final CallPatience patience = new CallPatience();
    private boolean offerPlanned;

    StagePool(String service, PoolParts parts, RoomLedger ledger, RandomGenerator random) {
        this.service = service;
        this.parts = parts;
        this.ledger = ledger;
        this.random = random;
    }

    /** Takes the pieces of one stage; each is told of its end, unless it was withdrawn before it was at work. */
    void submit(List<PieceTicket> tickets) {
        RetryBudget budget = parts.budgets().of(service);
        tickets.forEach(ticket -> budget.called());
        waiting.add(new PieceGroup(tickets, parts.clock().nowMs()));
        offer();
    }

    CallPatience patience() {
        return patience;
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

    /** Sends what waits to endpoints that have a free slot and room for results. */
    void offer() {
        dropEnded();
        while (!waiting.isEmpty()) {
            Optional<PoolSpec> spec = parts.config().get().service(service).flatMap(found -> found.pool());
            List<RelayEndpoint> serving = serving();
            if (spec.isEmpty() || serving.isEmpty()) {
                offerLaterOrFail();
                return;
            }
            if (!sendOne(spec.get(), serving)) {
                return;
            }
        }
    }

    /** Sends one call for the most urgent group that there is an endpoint for. */
    private boolean sendOne(PoolSpec spec, List<RelayEndpoint> serving) {
        long nowMs = parts.clock().nowMs();
        for (PieceGroup group : parts.order().sorted(waiting, "", nowMs)) {
            Optional<RelayEndpoint> endpoint = freest(serving, spec, group, nowMs);
            if (endpoint.isPresent()) {
                return send(endpoint.get(), spec, nowMs);
            }
        }
        offerSoon();
        return false;
    }

    private boolean send(RelayEndpoint endpoint, PoolSpec spec, long nowMs) {
        String domain = endpoint.identity().failureDomain();
        List<PieceGroup> allowed =
                waiting.stream().filter(group -> group.mayGoTo(domain, nowMs)).toList();
        double roomBytes = ledger.freeBytes(endpoint.id(), spec.roomBytes());
        List<PieceTicket> batch = take(parts.order().sorted(allowed, domain, nowMs), spec.batch(), roomBytes);
        if (batch.isEmpty()) {
            return false;
        }
        new PoolCall(parts, this, ledger, endpoint, spec, batch).begin();
        return true;
    }

    /** Takes whole groups while they fit; only one that fits into no call whole is split. */
    private List<PieceTicket> take(List<PieceGroup> groups, int mostPieces, double roomBytes) {
        List<PieceTicket> taken = new ArrayList<>();
        double leftBytes = roomBytes;
        for (PieceGroup group : groups) {
            long resultBytes = Math.max(1, group.placement().resultBytes());
            int fitting = (int) Math.min(mostPieces - taken.size(), leftBytes / resultBytes);
            boolean whole = fitting >= group.size();
            if (whole || taken.isEmpty()) {
                List<PieceTicket> some = group.take(fitting);
                taken.addAll(some);
                leftBytes -= some.size() * (double) resultBytes;
            }
        }
        waiting.removeIf(group -> group.size() == 0);
        return taken;
    }

    /** Drops groups that were withdrawn, and ends those whose time is over. */
    private void dropEnded() {
        waiting.removeIf(group -> group.size() == 0);
        long nowMs = parts.clock().nowMs();
        List<PieceGroup> late = waiting.stream()
                .filter(group -> group.urgency().dueAtMs() <= nowMs)
                .toList();
        waiting.removeAll(late);
        late.forEach(group -> fail(group, PieceResult.Failure.LATE));
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
        all.forEach(group -> fail(group, failure));
    }

    private static void fail(PieceGroup group, PieceResult.Failure failure) {
        group.take(Integer.MAX_VALUE).stream()
                .filter(ticket -> !ticket.withdrawn())
                .forEach(ticket -> ticket.done(MadePiece.failed(failure)));
    }

    private List<RelayEndpoint> serving() {
        return parts.endpoints().ofService(service).stream()
                .filter(RelayEndpoint::usable)
                .toList();
    }

    /** Returns the best endpoint with a free slot and room for a result: near before far, then the least loaded. */
    private Optional<RelayEndpoint> freest(List<RelayEndpoint> serving, PoolSpec spec, PieceGroup group, long nowMs) {
        PieceTicket.Placement placement = group.placement();
        Map<RelayEndpoint, Double> costs = new HashMap<>();
        for (RelayEndpoint endpoint : serving) {
            double roomBytes = ledger.freeBytes(endpoint.id(), spec.roomBytes());
            boolean free = endpoint.state().inFlight() < spec.slots() && roomBytes >= placement.resultBytes();
            if (free && group.mayGoTo(endpoint.identity().failureDomain(), nowMs)) {
                boolean near = endpoint.identity().failureDomain().equals(placement.nearDomain());
                double load = endpoint.state().estimatedLoad() + random.nextDouble() / 2;
                costs.put(endpoint, load + (near ? 0 : 1));
            }
        }
        return costs.entrySet().stream()
                .min(Comparator.comparingDouble(Map.Entry::getValue))
                .map(Map.Entry::getKey);
    }

    /** Takes pieces back whose call ended without a result for them, and offers them again if that is allowed. */
    void again(List<PieceTicket> tickets, PieceResult.Failure failure) {
        long nowMs = parts.clock().nowMs();
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
        back.forEach(ticket -> waiting.add(new PieceGroup(List.of(ticket), nowMs)));
        offerSoon();
    }

    private void offerSoon() {
        if (!offerPlanned) {
            offerPlanned = true;
            parts.loop()
                    .schedule(
                            () -> {
                                offerPlanned = false;
                                offer();
                            },
                            OFFER_AGAIN_MS,
                            TimeUnit.MILLISECONDS);
        }
    }
}
