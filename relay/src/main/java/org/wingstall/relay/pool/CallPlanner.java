package org.wingstall.relay.pool;

import java.util.List;
import java.util.Optional;
import org.wingstall.relay.config.PoolSpec;

/**
 * Says which pieces go into the next call, and to which endpoint.
 *
 * <p>{@code planner.next(groupsInOrder, makers, spec, nowMs).ifPresent(this::send);}
 *
 * @since 0.5
 */
public interface CallPlanner {
    /**
     * Plans a call.
     *
     * @param inOrder groups that wait, the first to go first
     * @param makers endpoints that serve
     * @param spec what an endpoint can do
     * @param nowMs monotonic clock, in ms
     * @return the call; empty when nothing can go now
     */
    Optional<PlannedCall> planNext(List<PieceGroup> inOrder, List<EndpointCapacity> makers, PoolSpec spec, long nowMs);

    /**
     * An endpoint as a planner sees it.
     *
     * @param endpointId its identifier
     * @param failureDomain where it stands
     * @param freeSlots calls that it can take now
     * @param freeBytes room for results
     * @param load calls there, with a small random part that breaks ties
     */
    record EndpointCapacity(String endpointId, String failureDomain, int freeSlots, double freeBytes, double load) {}

    /**
     * A call.
     *
     * @param maker the endpoint
     * @param parts what it carries
     */
    record PlannedCall(EndpointCapacity endpoint, List<Part> parts) {}

    /**
     * A group's part of a call.
     *
     * @param group the group
     * @param pieces how many of its pieces go
     */
    record Part(PieceGroup group, int pieces) {}
}
