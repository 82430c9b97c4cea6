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
import org.wingstall.relay.endpoint.StateQueries;
import org.wingstall.relay.endpoint.StateQueries.Purpose;
import org.wingstall.relay.wire.EndpointReport;

/**
 * Learns of results that this box did not count, such as those that it had asked for before a restart, or of the box that gathered before: asks
 * endpoints for their free room, and again while such results stand. Confined to the request loop.
 */
final class RoomReports {
    private static final Logger LOG = LogManager.getLogger(RoomReports.class);

    /** Pause until an endpoint with uncounted results is asked again, in ms; reports lag by some hundred ms. */
    private static final long QUERY_INTERVAL_MS = 250;

    /** Least part of an endpoint's room that uncounted results take for it to be asked again. */
    private static final double MIN_UNCOUNTED_FRACTION = 0.02;

    private final EventLoop loop;
    private final StateQueries stateQueries;
    private final ResultCapacityTracker capacity;

    RoomReports(EventLoop loop, StateQueries reports, ResultCapacityTracker ledger) {
        this.loop = loop;
        this.stateQueries = reports;
        this.capacity = ledger;
    }

    /** Asks endpoints to which this box has sent nothing for the life of a result. */
    void queryInitial(List<RelayEndpoint> endpoints, PoolSpec spec) {
        endpoints.forEach(endpoint -> query(endpoint, spec, true));
    }

    private void query(RelayEndpoint endpoint, PoolSpec spec, boolean first) {
        // An endpoint that does not answer here is found out by its calls.
        stateQueries.query(
                endpoint,
                Purpose.FREE_ROOM,
                report -> report.map(EndpointReport::maxFreeBytes)
                        .filter(OptionalDouble::isPresent)
                        .ifPresent(free -> reported(endpoint, spec, free.getAsDouble(), first)),
                () -> {});
    }

    private void reported(RelayEndpoint endpoint, PoolSpec spec, double freeBytes, boolean first) {
        double uncounted = first
                ? capacity.recordInitialFreeBytes(endpoint.key(), spec, freeBytes)
                : capacity.recordFreeBytes(endpoint.key(), spec, freeBytes);
        if (uncounted > 0) {
            LogEvent.info("uncounted-results")
                    .with("endpoint", endpoint.id())
                    .with("roomBytes", spec.resultCapacityBytes())
                    .with("freeBytes", freeBytes)
                    .with("uncountedBytes", uncounted)
                    .to(LOG);
        }
        if (uncounted > MIN_UNCOUNTED_FRACTION * spec.resultCapacityBytes()
                && !endpoint.state().leaving()) {
            loop.schedule(() -> query(endpoint, spec, false), QUERY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }
}
