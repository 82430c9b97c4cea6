package org.wingstall.relay.pool;

import java.util.List;

/**
 * Decides which groups of pieces are rejected instead of waiting for an endpoint.
 *
 * <p>{@code admission.rejected(groupsInOrder, context, nowMs)}
 *
 * @since 0.5
 */
public interface PoolAdmission {
    /**
     * Returns the groups that can't finish while their results are useful.
     *
     * @param inOrder waiting groups, in the order in which they are served
     * @param context forecast and load of the pool
     * @param nowMs monotonic clock, in ms
     * @return the groups to reject, each with the time after which to retry
     */
    List<RejectedGroup> rejected(List<PieceGroup> inOrder, AdmissionContext context, long nowMs);

    /**
     * A rejected group.
     *
     * @param group the group
     * @param retryAfterMs time until a retry is likely to be accepted if few others retry, in ms
     * @param drainedInMs time until the groups that were accepted are done and there is result capacity, in ms
     */
    record RejectedGroup(PieceGroup group, long retryAfterMs, long drainedInMs) {}

    /** Rejects nothing: every group waits until its deadline; the baseline. */
    PoolAdmission ACCEPT_ALL = (inOrder, context, nowMs) -> List.of();

    /** Rejects groups that would finish after their deadline; groups that only miss their target are still served. */
    PoolAdmission UNTIL_DEADLINE =
            new ForecastAdmission((group, context) -> group.urgency().deadlineAtMs());

    /**
     * Rejects groups that would miss their target while more work arrives than the pool can do, and groups that would
     * miss their deadline at any time. A late response is worth little to its caller, who may retry, and its calls make
     * other requests late. A pool that is not overloaded still serves late groups, and a group that reads results of
     * earlier stages is not rejected for missing its target. A pool also rejects groups that would miss their target
     * because pools of later stages are overloaded; their queues are part of the target of the group.
     */
    PoolAdmission UNTIL_TARGET_UNDER_OVERLOAD = new ForecastAdmission(
            (group, context) -> (context.load() > 1 || group.urgency().laterWaitMs() > 0) && !group.hasPredecessors()
                    ? group.urgency().targetAtMs()
                    : group.urgency().deadlineAtMs());
}
