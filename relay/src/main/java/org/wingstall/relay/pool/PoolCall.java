package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.http.HttpReply;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.wire.AnswerHead;
import org.wingstall.relay.wire.PieceResult;
import org.wingstall.schema.check.InvalidDocumentException;

/** One call for pieces at one endpoint. Confined to the request loop. */
final class PoolCall {
    private static final Logger LOG = LogManager.getLogger(PoolCall.class);
    private static final int OK = 200;

    private final PoolParts parts;
    private final StagePool pool;
    private final RoomLedger ledger;
    private final RelayEndpoint endpoint;
    private final PoolSpec spec;
    private final List<PieceTicket> tickets;
    private final long beganMs;
    private final double expectedMs;

    PoolCall(
            PoolParts parts,
            StagePool pool,
            RoomLedger ledger,
            RelayEndpoint endpoint,
            PoolSpec spec,
            List<PieceTicket> tickets) {
        this.parts = parts;
        this.pool = pool;
        this.ledger = ledger;
        this.endpoint = endpoint;
        this.spec = spec;
        this.tickets = tickets;
        this.beganMs = parts.clock().nowMs();
        this.expectedMs = pool.callMs(spec, tickets.size());
    }

    String endpointId() {
        return endpoint.id();
    }

    /** Returns when the call is likely over, in ms of the monotonic clock; one that is overdue as much later again. */
    long expectedEndAtMs(long nowMs) {
        long endAtMs = beganMs + Math.round(expectedMs);
        return endAtMs > nowMs ? endAtMs : nowMs + (nowMs - endAtMs);
    }

    void begin() {
        endpoint.state().tryAcquire(Integer.MAX_VALUE);
        for (PieceTicket ticket : tickets) {
            ticket.called();
            ledger.reserve(endpoint.id(), ticket.placement().resultBytes());
        }
        var pieces = tickets.stream().map(PieceTicket::piece).toList();
        var remainingMs = tickets.stream()
                .map(ticket -> Math.max(1, ticket.urgency().dueAtMs() - beganMs))
                .toList();
        parts.client()
                .call(
                        parts.loop(),
                        parts.wire().pieces(endpoint.identity(), pieces, remainingMs),
                        pool.timeoutMs(spec, pieces.size()))
                .whenCompleteAsync(this::ended, parts.loop());
    }

    private void ended(HttpReply reply, Throwable failure) {
        endpoint.state().release();
        tickets.forEach(
                ticket -> ledger.release(endpoint.id(), ticket.placement().resultBytes()));
        if (failure != null) {
            unanswered(failure.getMessage());
        } else {
            answered(reply);
        }
        pool.ended(this);
    }

    private void unanswered(String detail) {
        endpoint.stalled(detail);
        pool.patience().lost();
        LogEvent.warn("stage-call-lost")
                .with("endpoint", endpoint.id())
                .with("pieces", tickets.size())
                .with("afterMs", parts.clock().nowMs() - beganMs)
                .with("detail", detail)
                .to(LOG);
        pool.again(tickets, PieceResult.Failure.UNANSWERED);
    }

    private void answered(HttpReply reply) {
        pool.took(spec, tickets.size(), parts.clock().nowMs() - beganMs);
        AnswerHead head = parts.wire().answerHead(reply.status(), reply.headers());
        head.load().ifPresent(endpoint.state()::reported);
        if (head.otherIncarnation()) {
            parts.endpoints().markLeaving(endpoint, "another endpoint stands at its address");
        }
        if (reply.status() != OK) {
            pool.again(tickets, head.notRun() ? PieceResult.Failure.NO_ROOM : PieceResult.Failure.ERROR);
            return;
        }
        try {
            List<PieceResult> results = parts.wire().pieceResults(reply.body());
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
        endpoint.answered(parts.clock().nowMs() - beganMs);
        List<PieceTicket> withoutRoom = new ArrayList<>();
        List<PieceTicket> failed = new ArrayList<>();
        for (int i = 0; i < results.size(); i++) {
            PieceResult result = results.get(i);
            PieceTicket ticket = tickets.get(i);
            if (result.failure() == PieceResult.Failure.NO_ROOM) {
                withoutRoom.add(ticket);
            } else if (result.failure() == PieceResult.Failure.ERROR) {
                failed.add(ticket);
            } else {
                end(ticket, result);
            }
        }
        if (!withoutRoom.isEmpty()) {
            ledger.noRoom(endpoint.id());
            pool.again(withoutRoom, PieceResult.Failure.NO_ROOM);
        }
        if (!failed.isEmpty()) {
            pool.again(failed, PieceResult.Failure.ERROR);
        }
    }

    private void end(PieceTicket ticket, PieceResult result) {
        if (!result.made()) {
            ticket.done(MadePiece.failed(result.failure()));
            return;
        }
        long bytes = ticket.placement().resultBytes();
        ledger.reserve(endpoint.id(), bytes);
        ledger.made(endpoint.id(), bytes, result.handle(), spec.resultLifeMs());
        ticket.done(MadePiece.made(result, endpoint.state().address(), null));
    }
}
