package org.wingstall.relay.pool;

import org.wingstall.core.estimate.LinearTrend;
import org.wingstall.relay.config.PoolSpec;

/** How long calls of one service take, from its configuration at first and then as measured. Confined to the request loop. */
final class CallTimes {
    private PoolSpec configured;
    private LinearTrend trend;

    /** Records the time that a call took. */
    void took(PoolSpec spec, int pieces, long tookMs) {
        trend(spec).observed(pieces, tookMs);
    }

    /** Returns the time that a call with so many pieces takes, in ms. */
    double callMs(PoolSpec spec, int pieces) {
        return trend(spec).at(pieces);
    }

    /** Returns what so many pieces cost in full calls, in ms of one slot. */
    double workMs(PoolSpec spec, int pieces) {
        return callMs(spec, spec.batch()) * pieces / spec.batch();
    }

    private LinearTrend trend(PoolSpec spec) {
        if (!spec.equals(configured)) {
            configured = spec;
            trend = new LinearTrend(spec.baseMs(), spec.pieceMs(), spec.batch());
        }
        return trend;
    }
}
