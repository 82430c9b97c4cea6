package org.wingstall.relay.pool;

import java.util.List;
import java.util.Optional;
import org.wingstall.relay.config.PoolSpec;

/**
 * Decides which pieces go into the next call, and to which endpoint.
 *
 * <p>{@code planner.planNext(groupsInOrder, endpoints, spec, nowMs).ifPresent(this::send);}
 *
 * @since 0.5
 */
public interface CallPlanner {
    /**
     * Plans the next call.
     *
     * @param inOrder waiting groups, in the order in which they are served
     * @param endpoints endpoints that can be called
     * @param spec call times and limits of the endpoints
     * @param nowMs monotonic clock, in ms
     * @return the call; empty when no group can be sent now
     */
    Optional<PlannedCall> planNext(
            List<PieceGroup> inOrder, List<EndpointCapacity> endpoints, PoolSpec spec, long nowMs);

    /**
     * Free capacity and load of an endpoint.
     *
     * @param endpointId identifier of the endpoint
     * @param failureDomain failure domain that it runs in
     * @param freeSlots calls that it can take now
     * @param freeBytes free result capacity
     * @param load estimated load, with a small random part that breaks ties
     * @param pace how fast it runs calls
     */
    record EndpointCapacity(
            String endpointId, String failureDomain, int freeSlots, double freeBytes, double load, Pace pace) {
        /** Creates the capacity of an endpoint that is as fast as usual. */
        public EndpointCapacity(String endpointId, String failureDomain, int freeSlots, double freeBytes, double load) {
            this(endpointId, failureDomain, freeSlots, freeBytes, load, Pace.USUAL);
        }

        /** Returns whether its calls take longer than those of other endpoints. */
        boolean slow() {
            return pace.slowdown() > 1;
        }
    }

    /**
     * How fast an endpoint runs calls.
     *
     * @param slowdown ratio of the duration of its calls to the usual one; 1 for endpoints that are alike
     * @param slotFreeAtMs when each slot is free, in ms of the monotonic clock; empty if no endpoint is slow
     * @param untestedMs time since its last call ended, in ms; 0 while it runs a call
     */
    record Pace(double slowdown, List<Long> slotFreeAtMs, long untestedMs) {
        /** The pace of an endpoint that is like the others. */
        public static final Pace USUAL = new Pace(1, List.of(), 0);
    }

    /**
     * A planned call.
     *
     * @param endpoint the endpoint to call
     * @param parts the groups, or parts of groups, that it carries
     */
    record PlannedCall(EndpointCapacity endpoint, List<Part> parts) {}

    /**
     * The pieces of one group in a call.
     *
     * @param group the group
     * @param pieces number of its pieces in the call
     */
    record Part(PieceGroup group, int pieces) {}
}
