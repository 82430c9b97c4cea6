package org.wingstall.relay.pool;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;

/** Estimates the duration and the timeout of calls to each endpoint of one service. Confined to the request loop. */
final class EndpointCallTimes {
    private static final Logger LOG = LogManager.getLogger(EndpointCallTimes.class);

    /** Slowdown factor from which an endpoint is logged as slow; a single stall stays below it. */
    private static final double LOGGED_SLOWDOWN = 2;

    private final MonotonicClock clock;
    private final CallTimeEstimator estimator;
    private final CallTimeouts timeouts = new CallTimeouts();

    EndpointCallTimes(MonotonicClock clock, boolean byEndpoint) {
        this.estimator = new CallTimeEstimator(byEndpoint);
        this.clock = clock;
    }

    /** Returns the estimate for endpoints that are as fast as usual. */
    CallTimeEstimator usual() {
        return estimator;
    }

    /** Returns the ratio of the duration of an endpoint's calls to the usual one. */
    double slowdown(RelayEndpoint endpoint) {
        return estimator.slowdowns().of(endpoint.key(), endpoint.statedSlowdown(), clock.nowMs());
    }

    /** Returns the expected duration of a call, in ms. */
    double callMs(PoolSpec spec, int pieces, RelayEndpoint endpoint) {
        return estimator.callMs(spec, pieces) * slowdown(endpoint);
    }

    /** Returns the time after which a call counts as lost, in ms. */
    long timeoutMs(PoolSpec spec, int pieces, RelayEndpoint endpoint, int endpoints) {
        return timeouts.timeoutMs(spec, pieces, endpoints, slowdown(endpoint));
    }

    /** Records the duration of an answered call. */
    void recordAnswer(PoolSpec spec, int pieces, RelayEndpoint endpoint, long tookMs) {
        double before = slowdown(endpoint);
        timeouts.recordAnswer(spec, pieces, tookMs);
        estimator.recordCall(spec, pieces, tookMs, endpoint.key(), clock.nowMs());
        logChange(endpoint, before);
    }

    /** Records that an endpoint has not answered a call within a time, so that it is at least this slow. */
    void recordTimeout(PoolSpec spec, int pieces, RelayEndpoint endpoint, long waitedMs) {
        double before = slowdown(endpoint);
        estimator.recordAtLeast(spec, pieces, waitedMs, endpoint.key(), clock.nowMs());
        logChange(endpoint, before);
    }

    private void logChange(RelayEndpoint endpoint, double before) {
        double after = slowdown(endpoint);
        if (before < LOGGED_SLOWDOWN != after < LOGGED_SLOWDOWN) {
            LogEvent.info(after < LOGGED_SLOWDOWN ? "stage-endpoint-recovered" : "stage-endpoint-slow")
                    .with("endpoint", endpoint.id())
                    .with("service", endpoint.identity().service())
                    .with("slowdown", after)
                    .to(LOG);
        }
    }

    /** Records a lost call. */
    void recordLoss() {
        timeouts.recordLoss();
    }
}
