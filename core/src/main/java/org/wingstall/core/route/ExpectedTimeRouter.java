package org.wingstall.core.route;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses the candidate with the lowest expected time: its mean measured call time, scaled by the load including the
 * new call, minus a credit for each leading prompt block that it has already processed beyond the minimum over all
 * candidates.
 */
final class ExpectedTimeRouter implements Router {
    private static final double CROSS_DOMAIN_PENALTY_MS = 2;
    private static final double JITTER_RATIO = 0.02;

    private final RandomGenerator random;
    private final boolean prefixAffinity;
    private final double blockMs;

    ExpectedTimeRouter(RandomGenerator random, boolean prefixAffinity, double blockMs) {
        this.random = random;
        this.prefixAffinity = prefixAffinity;
        this.blockMs = blockMs;
    }

    @Override
    public EndpointState choose(List<Candidate> candidates, RouteRequest request) {
        int[] warmCounts = countWarmBlocks(candidates, request);
        int minWarm = min(warmCounts);
        EndpointState best = null;
        double bestMs = Double.MAX_VALUE;
        for (int i = 0; i < candidates.size(); i++) {
            double cacheCreditMs = (warmCounts[i] - minWarm) * blockMs;
            double ms = expectedMs(candidates.get(i), request) - cacheCreditMs;
            if (best == null || ms < bestMs) {
                best = candidates.get(i).endpoint();
                bestMs = ms;
            }
        }
        return best;
    }

    private double expectedMs(Candidate candidate, RouteRequest request) {
        EndpointState endpoint = candidate.endpoint();
        double measured = endpoint.meanRunMs();
        double base = measured > 0 ? measured : request.expectedMs() / candidate.speed();
        double load = (endpoint.estimatedLoad() + 1) / candidate.slots();
        double crossDomainMs =
                endpoint.identity().failureDomain().equals(request.failureDomain()) ? 0 : CROSS_DOMAIN_PENALTY_MS;
        return base * (1 + load) * (1 + JITTER_RATIO * random.nextDouble()) + crossDomainMs;
    }

    private int[] countWarmBlocks(List<Candidate> candidates, RouteRequest request) {
        int[] warmCounts = new int[candidates.size()];
        if (!prefixAffinity || request.prefixDigests().length == 0) {
            return warmCounts;
        }
        for (int i = 0; i < warmCounts.length; i++) {
            warmCounts[i] = candidates.get(i).endpoint().prefixes().countWarmBlocks(request.prefixDigests());
        }
        return warmCounts;
    }

    private static int min(int[] counts) {
        int min = Integer.MAX_VALUE;
        for (int count : counts) {
            min = Math.min(min, count);
        }
        return min;
    }
}
