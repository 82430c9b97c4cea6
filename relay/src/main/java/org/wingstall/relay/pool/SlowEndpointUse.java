package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.pool.CallPlanner.EndpointCapacity;

/**
 * Decides which groups are sent to slow endpoints: those that would miss their target on the other endpoints as well,
 * and now and then one that shows whether a slow endpoint has recovered.
 *
 * <p>{@code boolean sent = new SlowEndpointUse(groupsInOrder, endpoints, spec, nowMs).maySendTo(endpoint, group);}
 */
final class SlowEndpointUse {

    /**
     * Time without a call after which a slow endpoint is tried with a group that meets its target even there, in ms.
     * With the call of the trial, a recovery is detected within two seconds.
     */
    private static final long TRIAL_AFTER_MS = 1000;

    /** Time without a call after which the group that can wait longest is used, whatever its target, in ms. */
    private static final long TRIAL_WITH_ANY_AFTER_MS = 1500;

    private final List<PieceGroup> inOrder;
    private final List<EndpointCapacity> endpoints;
    private final PoolSpec spec;
    private final long nowMs;
    private final boolean anySlow;
    private List<Long> usualEndsAtMs;

    SlowEndpointUse(List<PieceGroup> inOrder, List<EndpointCapacity> endpoints, PoolSpec spec, long nowMs) {
        this.inOrder = inOrder;
        this.endpoints = endpoints;
        this.spec = spec;
        this.nowMs = nowMs;
        this.anySlow = endpoints.stream().anyMatch(EndpointCapacity::slow);
    }

    /** Returns whether an endpoint is fast enough for a group, or faster than waiting for another one. */
    boolean maySendTo(EndpointCapacity endpoint, PieceGroup group) {
        if (!anySlow || !endpoint.slow()) {
            return true;
        }
        boolean fitsElsewhere = endpoints.stream()
                .anyMatch(other -> !other.slow()
                        && WholeGroupPlanner.maySendTo(other, group, endpoints, nowMs)
                        && WholeGroupPlanner.fits(other, group, spec));
        if (!fitsElsewhere) {
            return true;
        }
        long usualEndAtMs = usualEndAtMs(group);
        if (usualEndAtMs <= group.urgency().targetAtMs()) {
            return false;
        }
        long deadlineAtMs = group.urgency().deadlineAtMs();
        return usualEndAtMs > deadlineAtMs || endAtMs(endpoint, group) <= deadlineAtMs;
    }

    /** A call that shows whether a slow endpoint has recovered. */
    record Trial(EndpointCapacity endpoint, PieceGroup group) {}

    /** Returns the trial that is due, if there is a group that can wait. */
    Optional<Trial> trial() {
        if (!anySlow) {
            return Optional.empty();
        }
        return endpoints.stream()
                .filter(endpoint -> endpoint.slow() && endpoint.freeSlots() > 0)
                .filter(endpoint -> endpoint.pace().untestedMs() >= TRIAL_AFTER_MS)
                .sorted(Comparator.comparingLong(endpoint -> -endpoint.pace().untestedMs()))
                .flatMap(endpoint -> groupForTrial(endpoint).map(group -> new Trial(endpoint, group)).stream())
                .findFirst();
    }

    private Optional<PieceGroup> groupForTrial(EndpointCapacity endpoint) {
        List<PieceGroup> possible = inOrder.stream()
                .filter(group -> !group.isolated() && !group.isLateAt(nowMs))
                .filter(group -> WholeGroupPlanner.maySendTo(endpoint, group, endpoints, nowMs))
                .filter(group -> WholeGroupPlanner.fits(endpoint, group, spec))
                .toList();
        Optional<PieceGroup> inTime = possible.stream()
                .filter(group -> nowMs + endpoint.pace().slowdown() * group.callMs()
                        <= group.urgency().targetAtMs())
                .reduce((former, later) -> later);
        return inTime.isPresent() || endpoint.pace().untestedMs() < TRIAL_WITH_ANY_AFTER_MS
                ? inTime
                : possible.stream().max(Comparator.comparingLong(PieceGroup::latestStartAtMs));
    }

    private long endAtMs(EndpointCapacity endpoint, PieceGroup group) {
        return nowMs + Math.round(endpoint.pace().slowdown() * callMs(group, waitingPieces()));
    }

    /** Returns the end of a group if no slow endpoint is used, in ms of the monotonic clock. */
    private long usualEndAtMs(PieceGroup group) {
        if (usualEndsAtMs == null) {
            usualEndsAtMs = usualEndsAtMs();
        }
        return usualEndsAtMs.get(inOrder.indexOf(group));
    }

    private List<Long> usualEndsAtMs() {
        List<Long> freeAtMs = new ArrayList<>();
        List<Double> slowdowns = new ArrayList<>();
        for (EndpointCapacity endpoint : endpoints) {
            if (!endpoint.slow()) {
                for (long slotFreeAtMs : endpoint.pace().slotFreeAtMs()) {
                    freeAtMs.add(slotFreeAtMs);
                    slowdowns.add(endpoint.pace().slowdown());
                }
            }
        }
        return new PoolForecast(freeAtMs, spec.maxBatchSize(), pieces -> callMs(inOrder.get(0), pieces), slowdowns)
                .endsAtMs(inOrder.stream().map(PieceGroup::size).toList());
    }

    private int waitingPieces() {
        return inOrder.stream().mapToInt(PieceGroup::size).sum();
    }

    /** Returns the duration of a usual call that carries a group among others, from that of the group alone. */
    private double callMs(PieceGroup group, int pieces) {
        int alone = Math.max(1, Math.min(group.size(), spec.maxBatchSize()));
        return group.callMs() * spec.callMs(Math.min(pieces, spec.maxBatchSize())) / spec.callMs(alone);
    }
}
