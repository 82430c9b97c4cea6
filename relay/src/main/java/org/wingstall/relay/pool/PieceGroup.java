package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;
import org.wingstall.relay.config.PoolSpec;

/**
 * A group of queued pieces of one stage of one request; they read the same results.
 *
 * <p>{@code group.urgency().targetAtMs()}
 *
 * @since 0.2
 */
public final class PieceGroup {
    /**
     * Time for which a group waits for an endpoint in the failure domain of its inputs or reader, in ms for each
     * megabyte that would be sent between failure domains. Each piece reads all inputs, so the bytes are multiplied by
     * the number of pieces.
     */
    private static final double NEAR_WAIT_MS_PER_MB = 300;

    private static final double BYTES_PER_MB = 1e6;

    /** Time before the latest start from which a group no longer waits for a near endpoint, in ms; about one call. */
    private static final long NEAR_WAIT_CUTOFF_MS = 200;

    private final List<PieceTask> waiting;
    private final long waitingSinceMs;
    private final long callMs;
    private final Urgency urgency;
    private final PieceTask.Placement placement;
    private final boolean isolated;
    private final boolean hasPredecessors;

    /**
     * Creates a group.
     *
     * @param tasks its pieces, at least one
     * @param waitingSinceMs when it was queued, in ms of the monotonic clock
     * @param callMs expected duration of its call, in ms
     * @param isolated whether it is sent in calls of its own, since a piece of it is suspected of crashing endpoints
     */
    PieceGroup(List<PieceTask> tasks, long waitingSinceMs, double callMs, boolean isolated) {
        this.isolated = isolated;
        this.waitingSinceMs = waitingSinceMs;
        this.callMs = Math.round(callMs);
        this.waiting = new ArrayList<>(tasks);
        this.urgency = tasks.get(0).urgency();
        this.placement = tasks.get(0).placement();
        this.hasPredecessors = tasks.get(0).piece().key() == null;
    }

    Urgency urgency() {
        return urgency;
    }

    PieceTask.Placement placement() {
        return placement;
    }

    /** Returns whether it reads results of earlier stages; their work is lost when the group is rejected. */
    boolean hasPredecessors() {
        return hasPredecessors;
    }

    /** Returns whether it is sent in calls of its own. */
    boolean isolated() {
        return isolated;
    }

    /** Returns whether the group may be sent to the failure domain now. */
    boolean maySendTo(String failureDomain, long nowMs) {
        boolean hurries = latestStartAtMs() - nowMs < NEAR_WAIT_CUTOFF_MS;
        return near(failureDomain) || hurries || nowMs - waitingSinceMs >= nearWaitMs();
    }

    private double nearWaitMs() {
        return NEAR_WAIT_MS_PER_MB * size() * placement.crossDomainBytes() / BYTES_PER_MB;
    }

    /** Returns whether the failure domain is that of its inputs or reader, or any domain will do. */
    boolean near(String failureDomain) {
        return placement.nearDomain().isEmpty() || placement.nearDomain().equals(failureDomain);
    }

    /** Returns when its call has to start so that the request meets its target, in ms of the monotonic clock. */
    long latestStartAtMs() {
        return urgency.targetAtMs() - callMs;
    }

    /** Returns the expected duration of its call, in ms. */
    long callMs() {
        return callMs;
    }

    /**
     * Returns the result capacity that the group needs. A group that is larger than a call, or than the capacity of an
     * endpoint, is sent in parts and needs the capacity of the largest possible part.
     */
    double neededBytes(PoolSpec spec) {
        double resultBytes = Math.max(1, placement.resultBytes());
        double mostPieces = Math.min(spec.maxBatchSize(), Math.floor(spec.resultCapacityBytes() / resultBytes));
        return resultBytes * Math.max(1, Math.min(size(), mostPieces));
    }

    /** Returns whether it is too late to start a call that meets the request's target. */
    boolean isLateAt(long nowMs) {
        return latestStartAtMs() < nowMs;
    }

    /** Returns the number of queued pieces, without those that were withdrawn. */
    int size() {
        waiting.removeIf(PieceTask::withdrawn);
        return waiting.size();
    }

    /** Removes and returns at most the given number of pieces. */
    List<PieceTask> take(int most) {
        List<PieceTask> first = waiting.subList(0, Math.min(most, waiting.size()));
        List<PieceTask> taken = List.copyOf(first);
        first.clear();
        return taken;
    }
}
