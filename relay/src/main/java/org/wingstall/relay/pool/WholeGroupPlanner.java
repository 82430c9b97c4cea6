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
        SlowEndpointUse slowUse = new SlowEndpointUse(inOrder, endpoints, spec, nowMs);
        Optional<SlowEndpointUse.Trial> trial = slowUse.trial();
        if (trial.isPresent()) {
            EndpointCapacity tried = trial.get().endpoint();
            return Optional.of(new PlannedCall(tried, fill(tried, trial.get().group(), List.of(), spec)));
        }
        for (PieceGroup group : inOrder) {
            Optional<EndpointCapacity> best = bestEndpoint(endpoints, group, slowUse, spec, nowMs);
            if (best.isPresent()) {
                EndpointCapacity endpoint = best.get();
                // A piece that crashes its endpoint would also cost the pieces of other requests in the same call.
                List<PieceGroup> others = inOrder.stream()
                        .filter(other -> other != group && !group.isolated() && !other.isolated())
                        .filter(other -> maySendTo(endpoint, other, endpoints, nowMs))
                        .filter(other -> slowUse.maySendTo(endpoint, other))
                        .toList();
                return Optional.of(new PlannedCall(endpoint, fill(endpoint, group, others, spec)));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the endpoint with a free slot and capacity for the group where its call ends first: the least loaded one
     * among equally fast endpoints. A far endpoint counts as one call busier.
     */
    private static Optional<EndpointCapacity> bestEndpoint(
            List<EndpointCapacity> endpoints, PieceGroup group, SlowEndpointUse slowUse, PoolSpec spec, long nowMs) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.freeSlots() > 0)
                .filter(endpoint -> maySendTo(endpoint, group, endpoints, nowMs))
                .filter(endpoint -> fits(endpoint, group, spec))
                .min(Comparator.comparingDouble(endpoint -> callsUntilEnd(endpoint, group)))
                .filter(endpoint -> slowUse.maySendTo(endpoint, group));
    }

    /** Returns when the call would end, in durations of a usual call. */
    private static double callsUntilEnd(EndpointCapacity endpoint, PieceGroup group) {
        double calls = 1 + endpoint.load() + (group.near(endpoint.failureDomain()) ? 0 : 1);
        return endpoint.pace().slowdown() * calls;
    }

    /**
     * Returns whether the group may be sent to an endpoint: any will do when no endpoint that can be called is near.
     */
    static boolean maySendTo(
            EndpointCapacity endpoint, PieceGroup group, List<EndpointCapacity> endpoints, long nowMs) {
        return group.maySendTo(endpoint.failureDomain(), nowMs)
                || endpoints.stream().noneMatch(other -> group.near(other.failureDomain()));
    }

    static boolean fits(EndpointCapacity endpoint, PieceGroup group, PoolSpec spec) {
        return endpoint.freeBytes() >= group.neededBytes(spec);
    }

    private static long resultBytes(PieceGroup group) {
        return Math.max(1, group.placement().resultBytes());
    }

    private static List<Part> fill(
            EndpointCapacity endpoint, PieceGroup first, List<PieceGroup> others, PoolSpec spec) {
        List<PieceGroup> allowed = new ArrayList<>();
        allowed.add(first);
        allowed.addAll(others);
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
