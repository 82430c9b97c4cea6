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
import org.wingstall.relay.endpoint.StateQuestions.Purpose;
import org.wingstall.relay.wire.AnswerHead;
import org.wingstall.relay.wire.PieceResult;
import org.wingstall.schema.check.InvalidDocumentException;

/** One call for pieces at one endpoint. Confined to the request loop. */
final class PoolCall {
    private static final Logger LOG = LogManager.getLogger(PoolCall.class);
    private static final int OK = 200;

    /** Part of its expected time from which a call is overdue; endpoints of a service differ by less. */
    private static final double OVERDUE_FACTOR = 1.25;

    /** Time beyond that, in ms: the way there and back beside a packet that is late. */
    private static final long OVERDUE_MS = 40;

    /** Pause between two questions to an endpoint that lives but has not answered the call, in ms. */
    private static final long CHECK_AGAIN_MS = 300;

    private final PoolParts parts;
    private final StagePool pool;
    private final RoomLedger ledger;
    private final RelayEndpoint endpoint;
    private final PoolSpec spec;
    private final List<PieceTicket> tickets;
    private final long beganMs;
    private final double expectedMs;
    private boolean over;

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

    RelayEndpoint endpoint() {
        return endpoint;
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
            ledger.reserve(endpoint.key(), ticket.placement().resultBytes());
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
        checkIn(Math.round(OVERDUE_FACTOR * expectedMs) + OVERDUE_MS);
    }

    /** Asks an endpoint whose call is overdue whether it lives: one that stopped is found out in half the time. */
    private void checkIn(long delayMs) {
        parts.loop().schedule(this::check, delayMs, TimeUnit.MILLISECONDS);
    }

    private void check() {
        if (!over) {
            boolean asked = parts.reports()
                    .ask(
                            endpoint,
                            Purpose.OVERDUE_CALL,
                            report -> checkIn(CHECK_AGAIN_MS),
                            () -> endpoint.stalled("a call is overdue and it does not answer"));
            if (!asked) {
                checkIn(CHECK_AGAIN_MS);
            }
        }
    }

    /** Gives the call up because its endpoint fell silent; its pieces are made elsewhere. */
    void abandon() {
        if (!over) {
            end();
            lost("its endpoint fell silent");
            pool.ended(this);
        }
    }

    private void end() {
        over = true;
        endpoint.state().release();
        tickets.forEach(
                ticket -> ledger.release(endpoint.key(), ticket.placement().resultBytes()));
    }

    private void ended(HttpReply reply, Throwable failure) {
        if (over) {
            endedLate(reply);
            return;
        }
        end();
        if (failure != null) {
            pool.crashes().lost(tickets, endpoint, failure);
            unanswered(failure.getMessage());
        } else {
            answered(reply);
        }
        pool.ended(this);
    }

    /** Results of a call that was given up are of no use any more. */
    private void endedLate(HttpReply reply) {
        if (reply == null || reply.status() != OK) {
            return;
        }
        try {
            for (PieceResult result : parts.wire().pieceResults(reply.body())) {
                if (result.made()) {
                    pool.free(MadePiece.made(result, endpoint.state().address(), null));
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
        endpoint.stalled(detail);
        lost(detail);
    }

    private void lost(String detail) {
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
        parts.answers().seen(endpoint, head, beganMs);
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
            pool.withoutRoom(endpoint, withoutRoom);
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
        pool.crashes().made(ticket, endpoint, beganMs);
        long bytes = ticket.placement().resultBytes();
        ledger.reserve(endpoint.key(), bytes);
        ledger.made(endpoint.key(), bytes, result.handle(), spec.resultLifeMs());
        ticket.done(MadePiece.made(result, endpoint.state().address(), null));
    }
}
