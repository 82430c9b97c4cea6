package org.wingstall.relay.pool;

import org.wingstall.relay.config.PoolSpec;

/**
 * Says how long a call for pieces of one service may take until it counts as lost. Confined to the request loop.
 *
 * <p>One endpoint that has stopped loses its calls soon; when no endpoint of the service answers in time, all of them are
 * slow, and calls get longer with each round of lost ones.
 */
final class CallTimeouts {
    /** FullMark calls that may stand before this one at the endpoint: another box's, while views of who gathers differ. */
    private static final int CALLS_AHEAD = 1;

    /**
     * Factor on the expected time. Endpoints of a service differ by less than half; at 2.5 and two calls ahead, a call to one
     * that had stopped held pieces for 1.9 s, longer than the target of any route.
     */
    private static final double EXPECTED_TIME_FACTOR = 2;

    /** Most rounds of lost calls that make calls longer; then a call may take as long as twelve expected ones. */
    private static final int MAX_ROUNDS = 3;

    private int consecutiveLosses;

    /** Records a call that was answered; one that took long says that the service is slow still. */
    void recordAnswer(PoolSpec spec, int pieces, long tookMs) {
        if (tookMs <= baseTimeoutMs(spec, pieces)) {
            consecutiveLosses = 0;
        }
    }

    /** Records a call that was lost. */
    void recordLoss() {
        consecutiveLosses++;
    }

    /**
     * Returns the time after which a call counts as lost.
     *
     * @param spec what the service's endpoints do
     * @param pieces pieces of the call
     * @param endpoints endpoints of the service
     * @return the time, in ms
     */
    long timeoutMs(PoolSpec spec, int pieces, int endpoints) {
        int rounds = Math.min(MAX_ROUNDS, consecutiveLosses / Math.max(1, endpoints));
        return Math.round(baseTimeoutMs(spec, pieces) * (1 + rounds));
    }

    private static double baseTimeoutMs(PoolSpec spec, int pieces) {
        return EXPECTED_TIME_FACTOR * spec.callMs(pieces) + CALLS_AHEAD * spec.callMs(spec.maxBatchSize());
    }
}
