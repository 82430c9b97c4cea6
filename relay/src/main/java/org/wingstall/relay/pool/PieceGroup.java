package org.wingstall.relay.pool;

import java.util.ArrayList;
import java.util.List;
import org.wingstall.relay.config.PoolSpec;

/**
 * The pieces of one stage of one request that wait together; they read the same results.
 *
 * <p>{@code group.urgency().targetAtMs()}
 *
 * @since 0.2
 */
public final class PieceGroup {
    /**
     * Time for which a group waits for an endpoint near its inputs or reader, in ms for each megabyte that would go between
     * failure domains: each piece reads all its inputs, so a group moves them as often as it has pieces.
     */
    private static final double NEAR_WAIT_MS_PER_MB = 300;

    private static final double BYTES_PER_MB = 1e6;

    /** Time left until the pieces have to begin below which any endpoint will do, in ms; about a call. */
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
     * @param tickets its pieces, at least one
     * @param sinceMs when it began to wait, in ms of the monotonic clock
     * @param callMs expected time of the call that makes it, in ms
     * @param apart whether it goes in calls of its own, since an endpoint ended under one of its pieces
     */
    PieceGroup(List<PieceTask> tickets, long sinceMs, double callMs, boolean apart) {
        this.isolated = apart;
        this.waitingSinceMs = sinceMs;
        this.callMs = Math.round(callMs);
        this.waiting = new ArrayList<>(tickets);
        this.urgency = tickets.get(0).urgency();
        this.placement = tickets.get(0).placement();
        this.hasPredecessors = tickets.get(0).piece().key() == null;
    }

    Urgency urgency() {
        return urgency;
    }

    PieceTask.Placement placement() {
        return placement;
    }

    /** Returns whether other stages of its request were done for it; their work is lost when it is turned away. */
    boolean hasPredecessors() {
        return hasPredecessors;
    }

    /** Returns whether it goes in calls of its own. */
    boolean isolated() {
        return isolated;
    }

    /** Returns whether an endpoint of the failure domain may take the group now. */
    boolean maySendTo(String failureDomain, long nowMs) {
        boolean hurries = latestStartAtMs() - nowMs < NEAR_WAIT_CUTOFF_MS;
        return near(failureDomain) || hurries || nowMs - waitingSinceMs >= nearWaitMs();
    }

    private double nearWaitMs() {
        return NEAR_WAIT_MS_PER_MB * size() * placement.crossDomainBytes() / BYTES_PER_MB;
    }

    /** Returns whether the failure domain is that of its inputs or reader, or makes no difference. */
    boolean near(String failureDomain) {
        return placement.nearDomain().isEmpty() || placement.nearDomain().equals(failureDomain);
    }

    /** Returns when its call has to begin so that the request is answered in time, in ms of the monotonic clock. */
    long latestStartAtMs() {
        return urgency.targetAtMs() - callMs;
    }

    /** Returns the expected time of the call that makes it, in ms. */
    long callMs() {
        return callMs;
    }

    /** Returns the room that its results need to go whole; one that is larger than a call or an endpoint's room goes in parts. */
    double neededBytes(PoolSpec spec) {
        double resultBytes = Math.max(1, placement.resultBytes());
        double mostPieces = Math.min(spec.maxBatchSize(), Math.floor(spec.resultCapacityBytes() / resultBytes));
        return resultBytes * Math.max(1, Math.min(size(), mostPieces));
    }

    /** Returns whether its request can't be answered in time any more. */
    boolean isLateAt(long nowMs) {
        return latestStartAtMs() < nowMs;
    }

    /** Returns the pieces that still wait, without those that were withdrawn. */
    int size() {
        waiting.removeIf(PieceTask::withdrawn);
        return waiting.size();
    }

    /** Removes and returns so many pieces at most. */
    List<PieceTask> take(int most) {
        List<PieceTask> first = waiting.subList(0, Math.min(most, waiting.size()));
        List<PieceTask> taken = List.copyOf(first);
        first.clear();
        return taken;
    }
}
