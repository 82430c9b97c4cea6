package org.wingstall.relay.pool;

import java.util.function.Supplier;

/**
 * The policies of a pool; each is a function of the pool's current state.
 *
 * <p>{@code new PoolContext(loop, clock, client, wire, endpoints, config, budgets, PoolPolicies.STANDARD)}
 *
 * @param order decides which pieces are sent first
 * @param admission decides which pieces are rejected instead of waiting
 * @param planner decides which pieces share a call, and which endpoint gets it
 * @param newRetryTimes creates, for each pool, what decides when the callers of rejected groups retry
 * @param adaptive whether the speed of each endpoint and the queues of later stages count
 * @since 0.5
 */
public record PoolPolicies(
        GroupOrder order,
        PoolAdmission admission,
        CallPlanner planner,
        Supplier<RetryTimes> newRetryTimes,
        boolean adaptive) {
    /** Policies that count the speed of each endpoint and the queues of later stages, with scheduled retry times. */
    public static final PoolPolicies STANDARD = new PoolPolicies(
            GroupOrder.EARLIEST_TARGET,
            PoolAdmission.UNTIL_TARGET_UNDER_OVERLOAD,
            new WholeGroupPlanner(),
            RetrySchedule::new);

    /**
     * The policies of a gateway. The adaptive ones refused more and discarded more stage work on a small deployment whose
     * pools are overloaded for a few seconds at a time, and are not in force until that is understood.
     */
    public static final PoolPolicies UNIFORM = new PoolPolicies(
            GroupOrder.EARLIEST_TARGET,
            PoolAdmission.UNTIL_TARGET_UNDER_OVERLOAD,
            new WholeGroupPlanner(),
            () -> RetryTimes.UNIFORM,
            false);

    /** Order of arrival, without admission control. */
    public static final PoolPolicies BASELINE =
            new PoolPolicies(GroupOrder.ARRIVAL, PoolAdmission.ACCEPT_ALL, new WholeGroupPlanner());

    /** Creates adaptive policies. */
    public PoolPolicies(
            GroupOrder order, PoolAdmission admission, CallPlanner planner, Supplier<RetryTimes> newRetryTimes) {
        this(order, admission, planner, newRetryTimes, true);
    }

    /** Creates policies that tell all callers that are rejected together the same retry time. */
    public PoolPolicies(GroupOrder order, PoolAdmission admission, CallPlanner planner) {
        this(order, admission, planner, () -> RetryTimes.UNIFORM);
    }
}
