package org.wingstall.core.route;

import java.util.List;
import java.util.random.RandomGenerator;

/** Chooses the less loaded of two random candidates; a baseline. */
final class PowerOfTwoRouter implements Router {
    private final RandomGenerator random;

    PowerOfTwoRouter(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public EndpointState choose(List<Candidate> candidates, RouteRequest request) {
        EndpointState first = pick(candidates);
        EndpointState second = pick(candidates);
        return second.estimatedLoad() < first.estimatedLoad() ? second : first;
    }

    private EndpointState pick(List<Candidate> candidates) {
        return candidates.get(random.nextInt(candidates.size())).endpoint();
    }
}
