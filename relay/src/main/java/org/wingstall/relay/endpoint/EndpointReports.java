package org.wingstall.relay.endpoint;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
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
 * Asks endpoints for their state, one question at a time to each. Confined to the request loop.
 *
 * <p>{@code reports.ask(endpoint, Purpose.OVERDUE_ANSWER, report -> learn(report), () -> silent(endpoint));}
 *
 * @since 0.5
 */
public final class EndpointReports implements StateQueries {
    private static final Logger LOG = LogManager.getLogger(EndpointReports.class);

    /**
     * Longest wait for the answer, in ms: it takes no slot, so it comes within some ms, or after one packet sent again when a
     * link loses some, which takes about 200 ms.
     */
    private static final long ANSWER_MS = 250;

    private static final int OK = 200;

    private final EventLoop loop;
    private final HttpClient client;
    private final EndpointProtocol wire;
    private final RelayMetrics metrics;
    private final Predicate<RelayEndpoint> spared;
    private final Map<String, List<Waiting>> asked = new HashMap<>();

    /** Who waits for an answer. */
    private record Waiting(Consumer<Optional<EndpointReport>> answered, Runnable silent) {}

    /**
     * Creates the asking side.
     *
     * @param loop the request loop
     * @param client HTTP client
     * @param wire how endpoints are spoken to
     * @param metrics counts questions
     * @param spared whether an endpoint is not asked
     */
    public EndpointReports(
            EventLoop loop,
            HttpClient client,
            EndpointProtocol wire,
            RelayMetrics metrics,
            Predicate<RelayEndpoint> spared) {
        this.spared = spared;
        this.metrics = metrics;
        this.loop = loop;
        this.client = client;
        this.wire = wire;
    }

    @Override
    public boolean query(
            RelayEndpoint endpoint, Purpose purpose, Consumer<Optional<EndpointReport>> answered, Runnable silent) {
        if (spared.test(endpoint)) {
            return false;
        }
        List<Waiting> waiting = asked.get(endpoint.key());
        if (waiting == null) {
            asked.put(endpoint.key(), new ArrayList<>(List.of(new Waiting(answered, silent))));
            metrics.recordStateQuery(purpose.code());
            // Each box asks all endpoints of a stage for their room when it begins; the counter tells those.
            LogEvent line =
                    purpose == Purpose.FREE_ROOM ? LogEvent.debug("endpoint-asked") : LogEvent.info("endpoint-asked");
            line.with("endpoint", endpoint.id()).with("purpose", purpose.code()).to(LOG);
            client.call(loop, wire.report(endpoint.identity()), ANSWER_MS)
                    .whenCompleteAsync((reply, failure) -> ended(endpoint, reply, failure), loop);
        } else {
            waiting.add(new Waiting(answered, silent));
        }
        return true;
    }

    private void ended(RelayEndpoint endpoint, HttpReply reply, Throwable failure) {
        List<Waiting> waiting = asked.remove(endpoint.key());
        if (failure == null) {
            Optional<EndpointReport> report = read(endpoint, reply);
            waiting.forEach(one -> one.answered().accept(report));
        } else {
            waiting.forEach(one -> one.silent().run());
        }
    }

    private Optional<EndpointReport> read(RelayEndpoint endpoint, HttpReply reply) {
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
