package org.wingstall.relay.pool;

import org.wingstall.core.estimate.OnlineLinearRegression;
import org.wingstall.relay.config.PoolSpec;

/** How long calls of one service take, from its configuration at first and then as measured. Confined to the request loop. */
final class CallTimeEstimator {
    private PoolSpec configured;
    private OnlineLinearRegression trend;

    /** Records the time that a call took. */
    void record(PoolSpec spec, int pieces, long tookMs) {
        trend(spec).observe(pieces, tookMs);
    }

    /** Returns the time that a call with so many pieces takes, in ms. */
    double callMs(PoolSpec spec, int pieces) {
        return trend(spec).predict(pieces);
    }

    /** Returns what so many pieces cost in full calls, in ms of one slot. */
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
