package org.wingstall.core.route;

import java.util.List;
import java.util.random.RandomGenerator;

/** Chooses the candidate with the fewest calls in flight from this gateway; a baseline. */
final class LeastInFlightRouter implements Router {
    private final RandomGenerator random;

    LeastInFlightRouter(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public EndpointState choose(List<Candidate> candidates, RouteRequest request) {
        int start = random.nextInt(candidates.size());
        EndpointState best = candidates.get(start).endpoint();
        for (int i = 1; i < candidates.size(); i++) {
            EndpointState other =
                    candidates.get((start + i) % candidates.size()).endpoint();
            if (other.inFlight() < best.inFlight()) {
                best = other;
            }
        }
        return best;
    }
}
