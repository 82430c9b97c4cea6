package org.wingstall.relay.pool;

import org.wingstall.relay.config.PoolSpec;

/**
 * Computes the timeout of calls for pieces of one service. Confined to the request loop.
 *
 * <p>Calls to a single stopped endpoint time out early. When calls to all endpoints of the service time out, the
 * endpoints are taken to be slow, and the timeout grows with each round in which as many calls are lost as there are
 * endpoints.
 */
final class CallTimeouts {
    /** Full calls of another box that may run before this one, while boxes disagree on which one is the coordinator. */
    private static final int CALLS_AHEAD = 1;

    /**
     * Factor on the expected time. The speeds of a service's endpoints differ by less than half. With a factor of 2.5
     * and two calls ahead, a call to a stopped endpoint held its pieces for 1.9 s, longer than the target of any route.
     */
    private static final double EXPECTED_TIME_FACTOR = 2;

    /** Factor on the expected time of a call to a slow endpoint, whose slowdown has been measured. */
    private static final double SLOW_CALL_FACTOR = 1.5;

    /** Maximum rounds of lost calls that raise the timeout; it is then about the time of twelve expected calls. */
    private static final int MAX_ROUNDS = 3;

    private int consecutiveLosses;

    /** Records an answered call; resets the count of losses unless it took longer than the base timeout. */
    void recordAnswer(PoolSpec spec, int pieces, long tookMs) {
        if (tookMs <= baseTimeoutMs(spec, pieces)) {
            consecutiveLosses = 0;
        }
    }

    /** Records a lost call. */
    void recordLoss() {
        consecutiveLosses++;
    }

    /**
     * Returns the time after which a call counts as lost.
     *
     * @param spec configured call times and limits of the service's endpoints
     * @param pieces number of pieces in the call
     * @param endpoints number of endpoints of the service
     * @return the time, in ms
     */
    long timeoutMs(PoolSpec spec, int pieces, int endpoints) {
        int rounds = Math.min(MAX_ROUNDS, consecutiveLosses / Math.max(1, endpoints));
        return Math.round(baseTimeoutMs(spec, pieces) * (1 + rounds));
    }

    /** Returns the time after which a call to an endpoint with a slowdown factor counts as lost, in ms. */
    long timeoutMs(PoolSpec spec, int pieces, int endpoints, double slowdown) {
        double slowCallMs =
                SLOW_CALL_FACTOR * slowdown * spec.callMs(pieces) + CALLS_AHEAD * spec.callMs(spec.maxBatchSize());
        return Math.max(timeoutMs(spec, pieces, endpoints), Math.round(slowCallMs));
    }

    private static double baseTimeoutMs(PoolSpec spec, int pieces) {
        return EXPECTED_TIME_FACTOR * spec.callMs(pieces) + CALLS_AHEAD * spec.callMs(spec.maxBatchSize());
    }
}
