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
 * Queries endpoints for their free result capacity, to find results that this box has not counted: those that it
 * requested before a restart, or those of an earlier coordinator. Repeats the query while there are such results.
 * Confined to the request loop.
 */
final class RoomReports {
    private static final Logger LOG = LogManager.getLogger(RoomReports.class);

    /** Delay before an endpoint with uncounted results is queried again, in ms; reports lag by some hundred ms. */
    private static final long QUERY_INTERVAL_MS = 250;

    /** Minimum fraction of an endpoint's result capacity taken by uncounted results for it to be queried again. */
    private static final double MIN_UNCOUNTED_FRACTION = 0.02;

    private final EventLoop loop;
    private final StateQueries stateQueries;
    private final ResultCapacityTracker capacity;

    RoomReports(EventLoop loop, StateQueries stateQueries, ResultCapacityTracker capacity) {
        this.loop = loop;
        this.stateQueries = stateQueries;
        this.capacity = capacity;
    }

    /** Queries endpoints that this box has sent no pieces for the TTL of a result. */
    void queryInitial(List<RelayEndpoint> endpoints, PoolSpec spec) {
        endpoints.forEach(endpoint -> query(endpoint, spec, true));
    }

    private void query(RelayEndpoint endpoint, PoolSpec spec, boolean first) {
        // No action without an answer: calls detect an unresponsive endpoint.
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
