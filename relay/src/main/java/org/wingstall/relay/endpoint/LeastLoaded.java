package org.wingstall.relay.endpoint;

import java.util.List;
import java.util.random.RandomGenerator;
import org.wingstall.relay.wire.RelayRequest;

/**
 * Chooses the endpoint with the fewest requests for its slots, near ones first among equals; the baseline.
 *
 * <p>{@code new LeastLoaded("kgn-a", random)}
 *
 * @since 0.2
 */
public final class LeastLoaded implements EndpointChooser {
    /** What a call to another failure domain counts for, in parts of a request's time; keeps traffic near among equals. */
    private static final double OTHER_DOMAIN = 0.1;

    /** Spread that keeps boxes with the same view from choosing the same endpoint, in parts of a request's time. */
    private static final double SPREAD = 0.3;

    /** Differences below it are those of a new connection or of the clock, and say nothing of an endpoint, in ms. */
    private static final double LEAST_RUN_MS = 5;

    private final String failureDomain;
    private final RandomGenerator random;

    /**
     * Creates a chooser.
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
        boolean near = candidate.identity().failureDomain().equals(failureDomain);
        double load = candidate.state().estimatedLoad() / Math.max(1, candidate.slots());
        double measuredMs = Math.max(LEAST_RUN_MS, candidate.state().meanRunMs());
        return (1 + load) * measuredMs * (1 + SPREAD * random.nextDouble() + (near ? 0 : OTHER_DOMAIN));
    }
}
