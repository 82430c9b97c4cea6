package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wingstall.relay.config.PoolSpec;

/**
 * Sends a group's pieces together, where there is room for all their results; only a group that fits into no call whole is
 * split.
 *
 * <p>The load that this answers is a pool whose endpoints have room for few results: a part of a group that is made holds
 * room until the rest is made as well, and is thrown away when the request is given up meanwhile.
 */
final class WholeGroupPlanner implements CallPlanner {
    @Override
    public Optional<PlannedCall> planNext(
            List<PieceGroup> inOrder, List<EndpointCapacity> makers, PoolSpec spec, long nowMs) {
        for (PieceGroup group : inOrder) {
            Optional<EndpointCapacity> maker = bestEndpoint(makers, group, spec, nowMs);
            if (maker.isPresent()) {
                return Optional.of(
                        new PlannedCall(maker.get(), fill(maker.get(), group, inOrder, makers, spec, nowMs)));
            }
        }
        return Optional.empty();
    }

    /** Returns the best endpoint with a free slot and room for the group: near before far, then the least loaded. */
    private static Optional<EndpointCapacity> bestEndpoint(
            List<EndpointCapacity> makers, PieceGroup group, PoolSpec spec, long nowMs) {
        return makers.stream()
                .filter(maker -> maker.freeSlots() > 0)
                .filter(maker -> maySendTo(maker, group, makers, nowMs))
                .filter(maker -> fits(maker, group, spec))
                .min(Comparator.comparingDouble(maker -> maker.load() + (group.near(maker.failureDomain()) ? 0 : 1)));
    }

    /** A group waits for a near endpoint only while there is one. */
    private static boolean maySendTo(
            EndpointCapacity maker, PieceGroup group, List<EndpointCapacity> makers, long nowMs) {
        return group.maySendTo(maker.failureDomain(), nowMs)
                || makers.stream().noneMatch(other -> group.near(other.failureDomain()));
    }

    private static boolean fits(EndpointCapacity maker, PieceGroup group, PoolSpec spec) {
        return maker.freeBytes() >= group.neededBytes(spec);
    }

    private static long resultBytes(PieceGroup group) {
        return Math.max(1, group.placement().resultBytes());
    }

    private static List<Part> fill(
            EndpointCapacity maker,
            PieceGroup first,
            List<PieceGroup> inOrder,
            List<EndpointCapacity> makers,
            PoolSpec spec,
            long nowMs) {
        List<PieceGroup> allowed = new ArrayList<>();
        allowed.add(first);
        // Beside a piece that crashes its endpoint the other requests' pieces of a call would be lost as well.
        inOrder.stream()
                .filter(group -> group != first && !first.isolated() && !group.isolated())
                .filter(group -> maySendTo(maker, group, makers, nowMs))
                .forEach(allowed::add);
        List<Part> parts = new ArrayList<>();
        int slots = spec.maxBatchSize();
        double leftBytes = maker.freeBytes();
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
