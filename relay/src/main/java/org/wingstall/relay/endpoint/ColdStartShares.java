package org.wingstall.relay.endpoint;

/**
 * Divides the capacity of a cold endpoint among the boxes that may send to it, so that together they stay within it
 * without exchanging messages.
 *
 * <p>{@code int requests = shares.requestsPerSecond(18.65, ColdStartShares.CoordinationRole.COORDINATOR, view);}
 *
 * @since 0.8
 */
public interface ColdStartShares {
    /** For which boxes a box selects endpoints. */
    enum CoordinationRole {
        /** It selects for all boxes that can reach it, and reaches most boxes of its failure domain. */
        COORDINATOR,
        /** It selects for itself only. */
        STANDALONE
    }

    /**
     * What a box knows about the fleet.
     *
     * @param failureDomains number of failure domains that have boxes
     * @param standaloneSender whether this box is one of the few that may send to the endpoint without a coordinator
     */
    record FleetView(int failureDomains, boolean standaloneSender) {}

    /**
     * Boxes that may send to a cold endpoint without a coordinator. Boxes with different views of the fleet may arrive
     * at more of them, so their share is calculated for twice as many.
     */
    int STANDALONE_BOXES = 2;

    /** Requests per second reserved for all standalone boxes: one for each, and one for each of as many others. */
    int STANDALONE_REQUESTS = 2 * STANDALONE_BOXES;

    /**
     * Returns the number of requests that a box may send to a cold endpoint in any second.
     *
     * @param capacityPerSecond requests per second that the endpoint can take from all boxes together
     * @param role for which boxes the box selects endpoints
     * @param view what the box knows about the fleet
     * @return the number of requests; 0 for none
     */
    int requestsPerSecond(double capacityPerSecond, CoordinationRole role, FleetView view);

    /** Returns the capacity that remains for coordinators after the share of standalone boxes. */
    static double coordinatorRate(double capacityPerSecond) {
        return capacityPerSecond >= 2 * STANDALONE_REQUESTS
                ? capacityPerSecond - STANDALONE_REQUESTS
                : capacityPerSecond;
    }

    /** Returns the requests per second that one standalone box may send; small capacities are left to coordinators. */
    static int standaloneRequests(double capacityPerSecond, FleetView view) {
        return view.standaloneSender() && capacityPerSecond >= 2 * STANDALONE_REQUESTS ? 1 : 0;
    }
}
