package org.wingstall.relay.pool;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.StateQuestions;
import org.wingstall.relay.endpoint.StateQuestions.Purpose;
import org.wingstall.relay.wire.EndpointReport;

/**
 * Learns of results that this box did not count, such as those that it had asked for before a restart, or of the box that gathered before: asks
 * endpoints for their free room, and again while such results stand. Confined to the request loop.
 */
final class RoomReports {
    private static final Logger LOG = LogManager.getLogger(RoomReports.class);

    /** Pause until an endpoint with uncounted results is asked again, in ms; reports lag by some hundred ms. */
    private static final long AGAIN_MS = 250;

    /** Least part of an endpoint's room that uncounted results take for it to be asked again. */
    private static final double LEAST_PART = 0.02;

    private final EventLoop loop;
    private final StateQuestions reports;
    private final RoomLedger ledger;

    RoomReports(EventLoop loop, StateQuestions reports, RoomLedger ledger) {
        this.loop = loop;
        this.reports = reports;
        this.ledger = ledger;
    }

    /** Asks endpoints to which this box has sent nothing for the life of a result. */
    void askAtFirst(List<RelayEndpoint> endpoints, PoolSpec spec) {
        endpoints.forEach(endpoint -> ask(endpoint, spec, true));
    }

    private void ask(RelayEndpoint endpoint, PoolSpec spec, boolean first) {
        // An endpoint that does not answer here is found out by its calls.
        reports.ask(
                endpoint,
                Purpose.FREE_ROOM,
                report -> report.map(EndpointReport::mostFreeBytes)
                        .filter(OptionalDouble::isPresent)
                        .ifPresent(free -> found(endpoint, spec, free.getAsDouble(), first)),
                () -> {});
    }

    private void found(RelayEndpoint endpoint, PoolSpec spec, double freeBytes, boolean first) {
        double uncounted = first
                ? ledger.foundAtFirst(endpoint.key(), spec, freeBytes)
                : ledger.foundLater(endpoint.key(), spec, freeBytes);
        if (uncounted > 0) {
            LogEvent.info("uncounted-results")
                    .with("endpoint", endpoint.id())
                    .with("roomBytes", spec.roomBytes())
                    .with("freeBytes", freeBytes)
                    .with("uncountedBytes", uncounted)
                    .to(LOG);
        }
        if (uncounted > LEAST_PART * spec.roomBytes() && !endpoint.state().leaving()) {
            loop.schedule(() -> ask(endpoint, spec, false), AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }
}
