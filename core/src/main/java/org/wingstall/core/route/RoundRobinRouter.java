package org.wingstall.core.route;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Chooses the candidates in rotation; a baseline. */
final class RoundRobinRouter implements Router {
    private final AtomicInteger next = new AtomicInteger();

    @Override
    public EndpointState choose(List<Candidate> candidates, RouteRequest request) {
        int index = Math.floorMod(next.getAndIncrement(), candidates.size());
        return candidates.get(index).endpoint();
    }
}
