package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wingstall.relay.config.PoolSpec;

/**
 * Sends all pieces of a group together, to an endpoint with capacity for all of their results; splits only groups that
 * are too large for any call.
 *
 * <p>This matters when endpoints have capacity for few results: the results of a partly finished group take capacity
 * until the rest is done, and are wasted if the request is abandoned meanwhile.
 */
final class WholeGroupPlanner implements CallPlanner {
    @Override
    public Optional<PlannedCall> planNext(
            List<PieceGroup> inOrder, List<EndpointCapacity> endpoints, PoolSpec spec, long nowMs) {
        for (PieceGroup group : inOrder) {
            Optional<EndpointCapacity> endpoint = bestEndpoint(endpoints, group, spec, nowMs);
            if (endpoint.isPresent()) {
                return Optional.of(
                        new PlannedCall(endpoint.get(), fill(endpoint.get(), group, inOrder, endpoints, spec, nowMs)));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the best endpoint with a free slot and capacity for the group: a far endpoint counts as one call busier.
     */
    private static Optional<EndpointCapacity> bestEndpoint(
            List<EndpointCapacity> endpoints, PieceGroup group, PoolSpec spec, long nowMs) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.freeSlots() > 0)
                .filter(endpoint -> maySendTo(endpoint, group, endpoints, nowMs))
                .filter(endpoint -> fits(endpoint, group, spec))
                .min(Comparator.comparingDouble(
                        endpoint -> endpoint.load() + (group.near(endpoint.failureDomain()) ? 0 : 1)));
    }

    /**
     * Returns whether the group may be sent to an endpoint: any will do when no endpoint that can be called is near.
     */
    private static boolean maySendTo(
            EndpointCapacity endpoint, PieceGroup group, List<EndpointCapacity> endpoints, long nowMs) {
        return group.maySendTo(endpoint.failureDomain(), nowMs)
                || endpoints.stream().noneMatch(other -> group.near(other.failureDomain()));
    }

    private static boolean fits(EndpointCapacity endpoint, PieceGroup group, PoolSpec spec) {
        return endpoint.freeBytes() >= group.neededBytes(spec);
    }

    private static long resultBytes(PieceGroup group) {
        return Math.max(1, group.placement().resultBytes());
    }

    private static List<Part> fill(
            EndpointCapacity endpoint,
            PieceGroup first,
            List<PieceGroup> inOrder,
            List<EndpointCapacity> endpoints,
            PoolSpec spec,
            long nowMs) {
        List<PieceGroup> allowed = new ArrayList<>();
        allowed.add(first);
        // A piece that crashes its endpoint would also cost the pieces of other requests in the same call.
        inOrder.stream()
                .filter(group -> group != first && !first.isolated() && !group.isolated())
                .filter(group -> maySendTo(endpoint, group, endpoints, nowMs))
                .forEach(allowed::add);
        List<Part> parts = new ArrayList<>();
        int slots = spec.maxBatchSize();
        double leftBytes = endpoint.freeBytes();
        for (PieceGroup group : allowed) {
            int fitting = (int) Math.min(slots, leftBytes / resultBytes(group));
            boolean whole = fitting >= group.size();
            if (whole || group == first) {
                int taken = Math.min(fitting, group.size());
                parts.add(new Part(group, taken));
                slots -= taken;
                leftBytes -= taken * (double) resultBytes(group);
            }
        }
        return parts;
    }
}
