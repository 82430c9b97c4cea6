package org.wingstall.relay.pool;

import java.util.OptionalDouble;
import org.wingstall.core.estimate.OnlineLinearRegression;
import org.wingstall.relay.config.PoolSpec;

/**
 * Estimates the duration of calls of one service, at first from its configuration and then from measurements. Confined
 * to the request loop.
 */
final class CallTimeEstimator {
    private PoolSpec configured;
    private OnlineLinearRegression trend;

    private final EndpointSlowdowns slowdowns;

    CallTimeEstimator() {
        this(true);
    }

    /**
     * Creates an estimator.
     *
     * @param byEndpoint whether the speed of each endpoint counts
     */
    CallTimeEstimator(boolean byEndpoint) {
        this.slowdowns = new EndpointSlowdowns(byEndpoint);
    }

    /** Returns the slowdown factors of the service's endpoints. */
    EndpointSlowdowns slowdowns() {
        return slowdowns;
    }

    /** Records the measured duration of a call. */
    void recordCall(PoolSpec spec, int pieces, double tookMs) {
        trend(spec).observe(pieces, tookMs);
    }

    /**
     * Records the measured duration of a call to an endpoint. The service's estimate gets the duration that the call
     * has on a usual endpoint.
     */
    void recordCall(PoolSpec spec, int pieces, double tookMs, String endpointKey, long nowMs) {
        recordAtLeast(spec, pieces, tookMs, endpointKey, nowMs);
        // A statement describes the time after the call, so the call is scaled by the measured factor.
        recordCall(spec, pieces, tookMs / slowdowns.of(endpointKey, OptionalDouble.empty(), nowMs));
    }

    /** Records a call to an endpoint that has taken a time without being answered. */
    void recordAtLeast(PoolSpec spec, int pieces, double tookMs, String endpointKey, long nowMs) {
        slowdowns.recordCall(endpointKey, tookMs, callMs(spec, pieces), nowMs);
    }

    /** Returns the expected duration of a call with the given number of pieces, in ms. */
    double callMs(PoolSpec spec, int pieces) {
        return trend(spec).predict(pieces);
    }

    /** Returns the slot time that the given number of pieces takes when calls are full, in ms. */
    double slotTimeMs(PoolSpec spec, int pieces) {
        return callMs(spec, spec.maxBatchSize()) * pieces / spec.maxBatchSize();
    }

    private OnlineLinearRegression trend(PoolSpec spec) {
        if (!spec.equals(configured)) {
            configured = spec;
            trend = new OnlineLinearRegression(spec.baseMs(), spec.pieceMs(), spec.maxBatchSize());
        }
        return trend;
    }
}
