package org.wingstall.relay.pool;

import java.util.List;

/**
 * Says which groups of pieces are turned away instead of waiting for an endpoint.
 *
 * <p>{@code admission.turnedAway(groupsInOrder, outlook, nowMs)}
 *
 * @since 0.5
 */
public interface PoolAdmission {
    /**
     * Returns the groups that can't be done while they are wanted.
     *
     * @param inOrder groups that wait, the first to go first
     * @param outlook what is known of the pool
     * @param nowMs monotonic clock, in ms
     * @return those to turn away, and when to come back
     */
    List<RejectedGroup> rejected(List<PieceGroup> inOrder, AdmissionContext outlook, long nowMs);

    /**
     * A group that is turned away.
     *
     * @param group the group
     * @param againMs time until there is likely room, in ms
     */
    record RejectedGroup(PieceGroup group, long retryAfterMs) {}

    /** Everything waits until its time is over; the baseline. */
    PoolAdmission ACCEPT_ALL = (inOrder, outlook, nowMs) -> List.of();

    /** Turns away at once what would not be done when its time is over, so late answers are made as long as they may be. */
    PoolAdmission UNTIL_DEADLINE =
            new ForecastAdmission((group, outlook) -> group.urgency().deadlineAtMs());

    /**
     * Turns away at once what would be late, while more work arrives than the pool can do: a late answer is worth little to its
     * caller, who may come back, and the calls that it takes make others late. A pool that keeps up makes late answers, too, and
     * what other stages were done for is not given up for being late.
     */
    PoolAdmission UNTIL_TARGET_UNDER_OVERLOAD =
            new ForecastAdmission((group, outlook) -> outlook.load() > 1 && !group.hasPredecessors()
                    ? group.urgency().targetAtMs()
                    : group.urgency().deadlineAtMs());
}
