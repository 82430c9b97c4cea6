package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
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

    private static final Comparator<PieceTicket> ORDER =
            Comparator.comparingInt(PieceTicket::rank).thenComparingLong(PieceTicket::dueAtMs);

    private final String service;
    private final PoolParts parts;
    private final RetryBudget budget;
    private final RandomGenerator random;
    private final PriorityQueue<PieceTicket> waiting = new PriorityQueue<>(ORDER);
    private boolean offerPlanned;

    StagePool(String service, PoolParts parts, RandomGenerator random) {
        this.service = service;
        this.parts = parts;
        this.budget = parts.budgets().of(service);
        this.random = random;
    }

    /** Takes pieces; each ticket is told of its end, unless it was withdrawn before it was at work. */
    void submit(List<PieceTicket> tickets) {
        tickets.forEach(ticket -> budget.called());
        waiting.addAll(tickets);
        offer();
    }

    /** Returns the pieces that wait. */
    int waiting() {
        return waiting.size();
    }

    /** Sends what waits to endpoints that have a free slot. */
    void offer() {
        while (nextWaits()) {
            PoolSpec spec = parts.config()
                    .get()
                    .service(service)
                    .flatMap(found -> found.pool())
                    .orElse(null);
            List<RelayEndpoint> serving = serving();
            if (spec == null || serving.isEmpty()) {
                failAll(PieceResult.Failure.NO_ENDPOINT);
                return;
            }
            RelayEndpoint endpoint = freest(serving, spec);
            if (endpoint == null) {
                return;
            }
            new PoolCall(parts, this, endpoint, spec, take(spec.batch())).begin();
        }
    }

    /** Returns whether a piece waits, after those that were withdrawn or are too late are dropped. */
    private boolean nextWaits() {
        long nowMs = parts.clock().nowMs();
        while (!waiting.isEmpty()) {
            PieceTicket first = waiting.peek();
            if (first.withdrawn()) {
                waiting.poll();
            } else if (first.dueAtMs() <= nowMs) {
                waiting.poll();
                first.done(MadePiece.failed(PieceResult.Failure.LATE));
            } else {
                return true;
            }
        }
        return false;
    }

    private List<PieceTicket> take(int most) {
        List<PieceTicket> taken = new ArrayList<>();
        while (taken.size() < most && nextWaits()) {
            taken.add(waiting.poll());
        }
        return taken;
    }

    private void failAll(PieceResult.Failure failure) {
        List<PieceTicket> all = take(Integer.MAX_VALUE);
        all.forEach(ticket -> ticket.done(MadePiece.failed(failure)));
    }

    private List<RelayEndpoint> serving() {
        return parts.endpoints().ofService(service).stream()
                .filter(endpoint -> endpoint.state().serving())
                .toList();
    }

    /** Returns the endpoint with the least load among those where this box has a slot free, or null. */
    private RelayEndpoint freest(List<RelayEndpoint> serving, PoolSpec spec) {
        RelayEndpoint best = null;
        double bestLoad = Double.MAX_VALUE;
        for (RelayEndpoint endpoint : serving) {
            if (endpoint.state().inFlight() >= spec.slots()) {
                continue;
            }
            boolean near = endpoint.identity().failureDomain().equals(parts.failureDomain());
            double load = endpoint.state().estimatedLoad() + random.nextDouble() / 2 + (near ? 0 : 0.5);
            if (load < bestLoad) {
                best = endpoint;
                bestLoad = load;
            }
        }
        return best;
    }

    /** Takes pieces back whose call ended without a result for them, and offers them again if that is allowed. */
    void again(List<PieceTicket> tickets, PieceResult.Failure failure) {
        for (PieceTicket ticket : tickets) {
            boolean turnedAway = failure == PieceResult.Failure.NO_ROOM;
            boolean allowed = ticket.calls() < MOST_CALLS && budget.tryRetry();
            if (ticket.withdrawn()) {
                continue;
            }
            if (allowed || turnedAway && ticket.calls() < MOST_CALLS) {
                waiting.add(ticket);
            } else {
                ticket.done(MadePiece.failed(failure));
            }
        }
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
