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
 * room until the rest is made as well, and is thrown away when the request is given up meanwhile. So that large groups get
 * their turn, the endpoint with the most room is kept for the first group that finds none.
 */
final class WholeGroups implements CallPlanner {
    /** Part of an endpoint's room that a result may take at most to pass a group that waits for room there. */
    private static final double SMALL_PART = 0.01;

    @Override
    public Optional<PlannedCall> next(List<PieceGroup> inOrder, List<Maker> makers, PoolSpec spec, long nowMs) {
        Maker kept = null;
        for (PieceGroup group : inOrder) {
            Optional<Maker> maker = best(makers, group, spec, kept, nowMs);
            if (maker.isPresent()) {
                return Optional.of(
                        new PlannedCall(maker.get(), fill(maker.get(), group, inOrder, makers, spec, kept, nowMs)));
            }
            if (kept == null && blockedByRoom(makers, group, nowMs)) {
                kept = mostRoom(makers);
            }
        }
        return Optional.empty();
    }

    /** Returns the best endpoint with a free slot and room for the group: near before far, then the least loaded. */
    private static Optional<Maker> best(List<Maker> makers, PieceGroup group, PoolSpec spec, Maker kept, long nowMs) {
        return makers.stream()
                .filter(maker -> maker.freeSlots() > 0)
                .filter(maker -> mayGoTo(maker, group, makers, nowMs))
                .filter(maker -> fits(maker, group, spec) && !keptFrom(maker, group, spec, kept))
                .min(Comparator.comparingDouble(maker -> maker.load() + (group.near(maker.failureDomain()) ? 0 : 1)));
    }

    private static boolean blockedByRoom(List<Maker> makers, PieceGroup group, long nowMs) {
        return makers.stream().anyMatch(maker -> maker.freeSlots() > 0 && mayGoTo(maker, group, makers, nowMs));
    }

    /** A group waits for a near endpoint only while there is one. */
    private static boolean mayGoTo(Maker maker, PieceGroup group, List<Maker> makers, long nowMs) {
        return group.mayGoTo(maker.failureDomain(), nowMs)
                || makers.stream().noneMatch(other -> group.near(other.failureDomain()));
    }

    private static Maker mostRoom(List<Maker> makers) {
        return makers.stream().max(Comparator.comparingDouble(Maker::freeBytes)).orElse(null);
    }

    private static boolean keptFrom(Maker maker, PieceGroup group, PoolSpec spec, Maker kept) {
        return maker == kept && group.placement().resultBytes() > SMALL_PART * spec.roomBytes();
    }

    private static boolean fits(Maker maker, PieceGroup group, PoolSpec spec) {
        return maker.freeBytes() >= group.neededBytes(spec);
    }

    private static long resultBytes(PieceGroup group) {
        return Math.max(1, group.placement().resultBytes());
    }

    private static List<Part> fill(
            Maker maker,
            PieceGroup first,
            List<PieceGroup> inOrder,
            List<Maker> makers,
            PoolSpec spec,
            Maker kept,
            long nowMs) {
        List<PieceGroup> allowed = new ArrayList<>();
        allowed.add(first);
        inOrder.stream()
                .filter(group -> group != first && mayGoTo(maker, group, makers, nowMs))
                .filter(group -> !keptFrom(maker, group, spec, kept))
                .forEach(allowed::add);
        List<Part> parts = new ArrayList<>();
        int slots = spec.batch();
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
