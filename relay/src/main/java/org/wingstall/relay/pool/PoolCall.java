package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.http.HttpReply;
import org.wingstall.net.http.TransportException;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.StateQueries.Purpose;
import org.wingstall.relay.endpoint.StatementReader.Carrier;
import org.wingstall.relay.wire.PieceResult;
import org.wingstall.relay.wire.ResponseHead;
import org.wingstall.schema.check.InvalidDocumentException;

/** Sends one batch of pieces to one endpoint and handles its response. Confined to the request loop. */
final class PoolCall {
    private static final Logger LOG = LogManager.getLogger(PoolCall.class);
    private static final int OK = 200;

    /** Factor on the expected duration after which a call is overdue; endpoints of a service differ by less. */
    private static final double OVERDUE_FACTOR = 1.25;

    /** Additional time until a call is overdue, in ms: covers a network round trip with a delayed packet. */
    private static final long OVERDUE_MARGIN_MS = 40;

    /** Delay between two state queries to an endpoint that answers them but has not answered the call, in ms. */
    private static final long RECHECK_DELAY_MS = 300;

    private final PoolContext context;
    private final StagePool pool;
    private final ResultCapacityTracker capacity;
    private final RelayEndpoint endpoint;
    private final PoolSpec spec;
    private final List<PieceTask> tasks;
    private final long startedMs;
    private final double expectedMs;
    private boolean closed;

    PoolCall(
            PoolContext context,
            StagePool pool,
            ResultCapacityTracker capacity,
            RelayEndpoint endpoint,
            PoolSpec spec,
            List<PieceTask> tasks) {
        this.context = context;
        this.pool = pool;
        this.capacity = capacity;
        this.endpoint = endpoint;
        this.spec = spec;
        this.tasks = tasks;
        this.startedMs = context.clock().nowMs();
        this.expectedMs = pool.callTimes().callMs(spec, tasks.size(), endpoint);
    }

    RelayEndpoint endpoint() {
        return endpoint;
    }

    String endpointId() {
        return endpoint.id();
    }

    /**
     * Returns the expected end of the call, in ms of the monotonic clock. An overdue call is expected to take as long
     * again as it is overdue by now.
     */
    long expectedEndAtMs(long nowMs) {
        long endAtMs = startedMs + Math.round(expectedMs);
        return endAtMs > nowMs ? endAtMs : nowMs + (nowMs - endAtMs);
    }

    void begin() {
        endpoint.state().tryAcquire(Integer.MAX_VALUE);
        for (PieceTask task : tasks) {
            task.countCall();
            capacity.reserve(endpoint.key(), task.placement().resultBytes());
        }
        var pieces = tasks.stream().map(PieceTask::piece).toList();
        var remainingMs = tasks.stream()
                .map(task -> Math.max(1, task.urgency().deadlineAtMs() - startedMs))
                .toList();
        context.client()
                .call(
                        context.loop(),
                        context.endpointProtocol().pieces(endpoint.identity(), pieces, remainingMs),
                        pool.callTimes().timeoutMs(spec, pieces.size(), endpoint, pool.endpointCount()))
                .whenCompleteAsync(this::ended, context.loop());
        scheduleCheck(Math.round(OVERDUE_FACTOR * expectedMs) + OVERDUE_MARGIN_MS);
    }

    /** Schedules a state query to the endpoint of an overdue call: it detects a stopped endpoint in half the time. */
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

    /** Abandons the call because its endpoint became unresponsive; its pieces are retried. */
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
        tasks.forEach(task -> capacity.release(endpoint.key(), task.placement().resultBytes()));
    }

    private void ended(HttpReply reply, Throwable failure) {
        if (closed) {
            freeLateResults(reply);
            return;
        }
        end();
        if (failure != null) {
            recordTimeout(failure);
            pool.quarantine().callLost(tasks, endpoint, startedMs, failure);
            unanswered(failure.getMessage());
        } else {
            answered(reply);
        }
        pool.callEnded(this);
    }

    /** Frees the results of an abandoned call, which nothing reads. */
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

    /** Records that the endpoint is at least this slow, so that it is left out and its next call may take longer. */
    private void recordTimeout(Throwable failure) {
        if (failure instanceof TransportException broken && broken.kind() == TransportException.Kind.TIMEOUT) {
            pool.callTimes()
                    .recordTimeout(spec, tasks.size(), endpoint, context.clock().nowMs() - startedMs);
        }
    }

    private void unanswered(String detail) {
        endpoint.recordNoAnswer(detail);
        lost(detail);
    }

    private void lost(String detail) {
        pool.callTimes().recordLoss();
        LogEvent.warn("stage-call-lost")
                .with("endpoint", endpoint.id())
                .with("pieces", tasks.size())
                .with("afterMs", context.clock().nowMs() - startedMs)
                .with("detail", detail)
                .to(LOG);
        pool.retry(tasks, PieceResult.Failure.UNANSWERED);
    }

    private void answered(HttpReply reply) {
        pool.callTimes()
                .recordAnswer(spec, tasks.size(), endpoint, context.clock().nowMs() - startedMs);
        ResponseHead head = context.endpointProtocol().responseHead(reply.status(), reply.headers());
        context.statementReader().read(endpoint, head, startedMs, Carrier.PIECES);
        if (head.otherIncarnation()) {
            context.endpoints().markLeaving(endpoint, "another endpoint stands at its address");
        } else {
            pool.quarantine().endpointAnswered(endpoint, startedMs);
        }
        if (reply.status() != OK) {
            pool.retry(tasks, head.notExecuted() ? PieceResult.Failure.NO_ROOM : PieceResult.Failure.ERROR);
            return;
        }
        try {
            List<PieceResult> results = context.endpointProtocol().pieceResults(reply.body());
            if (results.size() == tasks.size()) {
                take(results);
            } else {
                unanswered(results.size() + " results for " + tasks.size() + " pieces");
            }
        } catch (InvalidDocumentException e) {
            unanswered(e.getMessage());
        }
    }

    private void take(List<PieceResult> results) {
        endpoint.recordAnswer(context.clock().nowMs() - startedMs);
        List<PieceTask> withoutCapacity = new ArrayList<>();
        List<PieceTask> failed = new ArrayList<>();
        for (int i = 0; i < results.size(); i++) {
            PieceResult result = results.get(i);
            PieceTask task = tasks.get(i);
            if (result.failure() == PieceResult.Failure.NO_ROOM) {
                withoutCapacity.add(task);
            } else if (result.failure() == PieceResult.Failure.ERROR) {
                failed.add(task);
            } else {
                end(task, result);
            }
        }
        if (!withoutCapacity.isEmpty()) {
            pool.requeueWithoutCapacity(endpoint, withoutCapacity);
        }
        if (!failed.isEmpty()) {
            pool.retry(failed, PieceResult.Failure.ERROR);
        }
    }

    private void end(PieceTask task, PieceResult result) {
        if (!result.success()) {
            task.complete(PieceOutcome.failed(result.failure()));
            return;
        }
        pool.quarantine().pieceSucceeded(task, endpoint, startedMs);
        long bytes = task.placement().resultBytes();
        capacity.reserve(endpoint.key(), bytes);
        capacity.stored(endpoint.key(), bytes, result.handle(), spec.resultTtlMs());
        task.complete(PieceOutcome.success(result, endpoint.state().address(), null));
    }
}
