package org.wingstall.core.route;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Takes the candidate with the fewest expected ms: its measured time, scaled by the load that would stand before the
 * call, less the credit for the prompt blocks it has read beyond those that the least warm candidate has read.
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
        int[] warm = warmBlocks(candidates, request);
        int minWarm = min(warm);
        EndpointState best = null;
        double bestMs = Double.MAX_VALUE;
        for (int i = 0; i < candidates.size(); i++) {
            double cacheCreditMs = (warm[i] - minWarm) * blockMs;
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

    private int[] warmBlocks(List<Candidate> candidates, RouteRequest request) {
        int[] warm = new int[candidates.size()];
        if (!prefixAffinity || request.prefixDigests().length == 0) {
            return warm;
        }
        for (int i = 0; i < warm.length; i++) {
            warm[i] = candidates.get(i).endpoint().prefixes().countWarmBlocks(request.prefixDigests());
        }
        return warm;
    }

    private static int min(int[] counts) {
        int least = Integer.MAX_VALUE;
        for (int count : counts) {
            least = Math.min(least, count);
        }
        return least;
    }
}
