package org.wingstall.relay.pool;

import org.wingstall.core.estimate.OnlineLinearRegression;
import org.wingstall.relay.config.PoolSpec;

/**
 * Estimates the duration of calls of one service, at first from its configuration and then from measurements. Confined
 * to the request loop.
 */
final class CallTimeEstimator {
    private PoolSpec configured;
    private OnlineLinearRegression trend;

    /** Records the measured duration of a call. */
    void recordCall(PoolSpec spec, int pieces, long tookMs) {
        trend(spec).observe(pieces, tookMs);
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
