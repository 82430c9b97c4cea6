package org.wingstall.relay.pool;

/**
 * The policies of a pool; each is a function of the pool's current state.
 *
 * <p>{@code new PoolContext(loop, clock, client, wire, endpoints, config, budgets, PoolPolicies.STANDARD)}
 *
 * @param order decides which pieces are sent first
 * @param admission decides which pieces are rejected instead of waiting
 * @param planner decides which pieces share a call, and which endpoint gets it
 * @since 0.5
 */
public record PoolPolicies(GroupOrder order, PoolAdmission admission, CallPlanner planner) {
    /** The policies of a gateway. */
    public static final PoolPolicies STANDARD = new PoolPolicies(
            GroupOrder.EARLIEST_TARGET, PoolAdmission.UNTIL_TARGET_UNDER_OVERLOAD, new WholeGroupPlanner());

    /** Order of arrival, without admission control. */
    public static final PoolPolicies BASELINE =
            new PoolPolicies(GroupOrder.ARRIVAL, PoolAdmission.ACCEPT_ALL, new WholeGroupPlanner());
}
