package org.wingstall.relay.endpoint;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.http.HttpReply;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.wire.EndpointProtocol;
import org.wingstall.relay.wire.EndpointReport;
import org.wingstall.schema.check.InvalidDocumentException;

/**
 * Queries endpoints for their state over HTTP, with at most one query at a time to each. Confined to the request loop.
 *
 * <p>{@code reports.query(endpoint, Purpose.OVERDUE_ANSWER, this::apply, () -> markUnresponsive(endpoint));}
 *
 * @since 0.5
 */
public final class EndpointReports implements StateQueries {
    private static final Logger LOG = LogManager.getLogger(EndpointReports.class);

    /**
     * Timeout of a query, in ms. A query takes no slot, so the response arrives within a few ms, or after one
     * retransmission of about 200 ms when a link loses packets.
     */
    private static final long TIMEOUT_MS = 250;

    private static final int OK = 200;

    private final EventLoop loop;
    private final HttpClient client;
    private final EndpointProtocol wire;
    private final RelayMetrics metrics;
    private final StatementReader statementReader;
    private final Map<String, List<Callbacks>> pending = new HashMap<>();

    /** Callbacks of one caller that waits for the response. */
    private record Callbacks(Consumer<Optional<EndpointReport>> onReport, Runnable onNoAnswer) {}

    /**
     * Creates a client for state queries.
     *
     * @param loop the request loop
     * @param client HTTP client
     * @param wire protocol of the endpoints
     * @param metrics counts the queries
     * @param statementReader applies what endpoints state, and knows which of them must not be queried
     */
    public EndpointReports(
            EventLoop loop,
            HttpClient client,
            EndpointProtocol wire,
            RelayMetrics metrics,
            StatementReader statementReader) {
        this.statementReader = statementReader;
        this.metrics = metrics;
        this.loop = loop;
        this.client = client;
        this.wire = wire;
    }

    @Override
    public boolean query(
            RelayEndpoint endpoint, Purpose purpose, Consumer<Optional<EndpointReport>> onReport, Runnable onNoAnswer) {
        if (statementReader.limited(endpoint)) {
            return false;
        }
        List<Callbacks> waiting = pending.get(endpoint.key());
        if (waiting == null) {
            pending.put(endpoint.key(), new ArrayList<>(List.of(new Callbacks(onReport, onNoAnswer))));
            metrics.recordStateQuery(purpose.code());
            // At its start each box queries all endpoints of a stage for their free result capacity; the metric counts
            // these.
            LogEvent line =
                    purpose == Purpose.FREE_ROOM ? LogEvent.debug("endpoint-asked") : LogEvent.info("endpoint-asked");
            line.with("endpoint", endpoint.id()).with("purpose", purpose.code()).to(LOG);
            client.call(loop, wire.report(endpoint.identity()), TIMEOUT_MS)
                    .whenCompleteAsync((reply, failure) -> complete(endpoint, reply, failure), loop);
        } else {
            waiting.add(new Callbacks(onReport, onNoAnswer));
        }
        return true;
    }

    private void complete(RelayEndpoint endpoint, HttpReply reply, Throwable failure) {
        List<Callbacks> waiting = pending.remove(endpoint.key());
        if (failure == null) {
            statementReader.read(
                    endpoint, wire.responseHead(reply.status(), reply.headers()), StatementReader.Carrier.STATE_QUERY);
            Optional<EndpointReport> report = parseReport(endpoint, reply);
            waiting.forEach(callbacks -> callbacks.onReport().accept(report));
        } else {
            waiting.forEach(callbacks -> callbacks.onNoAnswer().run());
        }
    }

    private Optional<EndpointReport> parseReport(RelayEndpoint endpoint, HttpReply reply) {
        if (reply.status() != OK) {
            return Optional.empty();
        }
        try {
            return Optional.of(wire.endpointReport(reply.body()));
        } catch (InvalidDocumentException e) {
            LogEvent.warn("endpoint-report-unreadable")
                    .with("endpoint", endpoint.id())
                    .with("why", e.getMessage())
                    .to(LOG);
            return Optional.empty();
        }
    }
}
