package org.wingstall.relay.endpoint;

import java.util.List;
import java.util.random.RandomGenerator;
import org.wingstall.relay.wire.RelayRequest;

/**
 * Chooses the endpoint with the lowest load per slot and prefers those in the box's own failure domain among equals.
 *
 * <p>{@code new LeastLoaded("kgn-a", random)}
 *
 * @since 0.2
 */
public final class LeastLoaded implements EndpointChooser {
    /**
     * Penalty for a call to another failure domain, as a fraction of a request's time; keeps traffic local among
     * equals.
     */
    private static final double REMOTE_PENALTY = 0.1;

    /**
     * Random jitter that keeps boxes with the same view from choosing the same endpoint, as a fraction of a request's
     * time.
     */
    private static final double JITTER = 0.3;

    /** Lower bound for measured times, in ms: smaller differences stem from opening a connection or from the clock. */
    private static final double MIN_RUN_MS = 5;

    private final String failureDomain;
    private final RandomGenerator random;

    /**
     * Creates a chooser for one box.
     *
     * @param failureDomain failure domain of this box
     * @param random breaks ties
     */
    public LeastLoaded(String failureDomain, RandomGenerator random) {
        this.failureDomain = failureDomain;
        this.random = random;
    }

    @Override
    public RelayEndpoint choose(List<RelayEndpoint> candidates, RelayRequest request) {
        RelayEndpoint best = null;
        double bestCost = Double.MAX_VALUE;
        for (RelayEndpoint candidate : candidates) {
            double cost = cost(candidate);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return best;
    }

    private double cost(RelayEndpoint candidate) {
        boolean local = candidate.identity().failureDomain().equals(failureDomain);
        double load = candidate.state().estimatedLoad() / Math.max(1, candidate.slots());
        double runMs = Math.max(MIN_RUN_MS, candidate.state().meanRunMs());
        return (1 + load) * runMs * (1 + JITTER * random.nextDouble() + (local ? 0 : REMOTE_PENALTY));
    }
}
