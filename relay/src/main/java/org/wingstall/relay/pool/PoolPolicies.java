package org.wingstall.relay.pool;

/**
 * The decisions of a pool; each is a function of what is known at a moment.
 *
 * <p>{@code new PoolContext(loop, clock, client, wire, endpoints, config, budgets, PoolPolicies.STANDARD)}
 *
 * @param order which pieces go first
 * @param admission which are turned away instead of waiting
 * @param planner which pieces share a call, and where it goes
 * @since 0.5
 */
public record PoolPolicies(GroupOrder order, PoolAdmission admission, CallPlanner planner) {
    /** What a gateway goes by. */
    public static final PoolPolicies STANDARD = new PoolPolicies(
            GroupOrder.EARLIEST_TARGET, PoolAdmission.UNTIL_TARGET_UNDER_OVERLOAD, new WholeGroupPlanner());

    /** In the order of arrival, and everything waits. */
    public static final PoolPolicies BASELINE =
            new PoolPolicies(GroupOrder.ARRIVAL, PoolAdmission.ACCEPT_ALL, new WholeGroupPlanner());
}
