package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.http.HttpReply;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.StateQueries.Purpose;
import org.wingstall.relay.wire.PieceResult;
import org.wingstall.relay.wire.ResponseHead;
import org.wingstall.schema.check.InvalidDocumentException;

/** One call for pieces at one endpoint. Confined to the request loop. */
final class PoolCall {
    private static final Logger LOG = LogManager.getLogger(PoolCall.class);
    private static final int OK = 200;

    /** FleetBudget of its expected time from which a call is overdue; endpoints of a service differ by less. */
    private static final double OVERDUE_FACTOR = 1.25;

    /** Time beyond that, in ms: the way there and back beside a packet that is late. */
    private static final long OVERDUE_MARGIN_MS = 40;

    /** Pause between two questions to an endpoint that lives but has not answered the call, in ms. */
    private static final long RECHECK_DELAY_MS = 300;

    private final PoolContext context;
    private final StagePool pool;
    private final ResultCapacityTracker capacity;
    private final RelayEndpoint endpoint;
    private final PoolSpec spec;
    private final List<PieceTask> tickets;
    private final long startedMs;
    private final double expectedMs;
    private boolean closed;

    PoolCall(
            PoolContext parts,
            StagePool pool,
            ResultCapacityTracker ledger,
            RelayEndpoint endpoint,
            PoolSpec spec,
            List<PieceTask> tickets) {
        this.context = parts;
        this.pool = pool;
        this.capacity = ledger;
        this.endpoint = endpoint;
        this.spec = spec;
        this.tickets = tickets;
        this.startedMs = parts.clock().nowMs();
        this.expectedMs = pool.callMs(spec, tickets.size());
    }

    RelayEndpoint endpoint() {
        return endpoint;
    }

    String endpointId() {
        return endpoint.id();
    }

    /** Returns when the call is likely over, in ms of the monotonic clock; one that is overdue as much later again. */
    long expectedEndAtMs(long nowMs) {
        long endAtMs = startedMs + Math.round(expectedMs);
        return endAtMs > nowMs ? endAtMs : nowMs + (nowMs - endAtMs);
    }

    void begin() {
        endpoint.state().tryAcquire(Integer.MAX_VALUE);
        for (PieceTask ticket : tickets) {
            ticket.countCall();
            capacity.reserve(endpoint.key(), ticket.placement().resultBytes());
        }
        var pieces = tickets.stream().map(PieceTask::piece).toList();
        var remainingMs = tickets.stream()
                .map(ticket -> Math.max(1, ticket.urgency().deadlineAtMs() - startedMs))
                .toList();
        context.client()
                .call(
                        context.loop(),
                        context.endpointProtocol().pieces(endpoint.identity(), pieces, remainingMs),
                        pool.timeoutMs(spec, pieces.size()))
                .whenCompleteAsync(this::ended, context.loop());
        scheduleCheck(Math.round(OVERDUE_FACTOR * expectedMs) + OVERDUE_MARGIN_MS);
    }

    /** Asks an endpoint whose call is overdue whether it lives: one that stopped is found out in half the time. */
    private void scheduleCheck(long delayMs) {
        context.loop().schedule(this::check, delayMs, TimeUnit.MILLISECONDS);
    }

    private void check() {
        if (!closed) {
            boolean asked = context.stateQueries()
                    .query(
                            endpoint,
                            Purpose.OVERDUE_CALL,
                            report -> scheduleCheck(RECHECK_DELAY_MS),
                            () -> endpoint.recordNoAnswer("a call is overdue and it does not answer"));
            if (!asked) {
                scheduleCheck(RECHECK_DELAY_MS);
            }
        }
    }

    /** Gives the call up because its endpoint fell silent; its pieces are made elsewhere. */
    void abandon() {
        if (!closed) {
            end();
            lost("its endpoint fell silent");
            pool.callEnded(this);
        }
    }

    private void end() {
        closed = true;
        endpoint.state().release();
        tickets.forEach(
                ticket -> capacity.release(endpoint.key(), ticket.placement().resultBytes()));
    }

    private void ended(HttpReply reply, Throwable failure) {
        if (closed) {
            freeLateResults(reply);
            return;
        }
        end();
        if (failure != null) {
            pool.quarantine().callLost(tickets, endpoint, failure);
            unanswered(failure.getMessage());
        } else {
            answered(reply);
        }
        pool.callEnded(this);
    }

    /** Results of a call that was given up are of no use any more. */
    private void freeLateResults(HttpReply reply) {
        if (reply == null || reply.status() != OK) {
            return;
        }
        try {
            for (PieceResult result : context.endpointProtocol().pieceResults(reply.body())) {
                if (result.success()) {
                    pool.free(PieceOutcome.success(result, endpoint.state().address(), null));
                }
            }
        } catch (InvalidDocumentException e) {
            LogEvent.debug("late-results-unreadable")
                    .with("endpoint", endpoint.id())
                    .cause(e)
                    .to(LOG);
        }
    }

    private void unanswered(String detail) {
        endpoint.recordNoAnswer(detail);
        lost(detail);
    }

    private void lost(String detail) {
        pool.timeouts().recordLoss();
        LogEvent.warn("stage-call-lost")
                .with("endpoint", endpoint.id())
                .with("pieces", tickets.size())
                .with("afterMs", context.clock().nowMs() - startedMs)
                .with("detail", detail)
                .to(LOG);
        pool.retry(tickets, PieceResult.Failure.UNANSWERED);
    }

    private void answered(HttpReply reply) {
        pool.recordCallTime(spec, tickets.size(), context.clock().nowMs() - startedMs);
        ResponseHead head = context.endpointProtocol().responseHead(reply.status(), reply.headers());
        head.load().ifPresent(endpoint.state()::recordReportedLoad);
        context.limitReader().readLimit(endpoint, head, startedMs);
        if (head.otherIncarnation()) {
            context.endpoints().markLeaving(endpoint, "another endpoint stands at its address");
        }
        if (reply.status() != OK) {
            pool.retry(tickets, head.notExecuted() ? PieceResult.Failure.NO_ROOM : PieceResult.Failure.ERROR);
            return;
        }
        try {
            List<PieceResult> results = context.endpointProtocol().pieceResults(reply.body());
            if (results.size() == tickets.size()) {
                take(results);
            } else {
                unanswered(results.size() + " results for " + tickets.size() + " pieces");
            }
        } catch (InvalidDocumentException e) {
            unanswered(e.getMessage());
        }
    }

    private void take(List<PieceResult> results) {
        endpoint.recordAnswer(context.clock().nowMs() - startedMs);
        List<PieceTask> withoutRoom = new ArrayList<>();
        List<PieceTask> failed = new ArrayList<>();
        for (int i = 0; i < results.size(); i++) {
            PieceResult result = results.get(i);
            PieceTask ticket = tickets.get(i);
            if (result.failure() == PieceResult.Failure.NO_ROOM) {
                withoutRoom.add(ticket);
            } else if (result.failure() == PieceResult.Failure.ERROR) {
                failed.add(ticket);
            } else {
                end(ticket, result);
            }
        }
        if (!withoutRoom.isEmpty()) {
            pool.rejectedForRoom(endpoint, withoutRoom);
        }
        if (!failed.isEmpty()) {
            pool.retry(failed, PieceResult.Failure.ERROR);
        }
    }

    private void end(PieceTask ticket, PieceResult result) {
        if (!result.success()) {
            ticket.complete(PieceOutcome.failed(result.failure()));
            return;
        }
        pool.quarantine().pieceSucceeded(ticket, endpoint, startedMs);
        long bytes = ticket.placement().resultBytes();
        capacity.reserve(endpoint.key(), bytes);
        capacity.stored(endpoint.key(), bytes, result.handle(), spec.resultTtlMs());
        ticket.complete(PieceOutcome.success(result, endpoint.state().address(), null));
    }
}
