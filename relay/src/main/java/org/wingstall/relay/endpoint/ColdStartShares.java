package org.wingstall.relay.endpoint;

/**
 * Divides the capacity of a cold endpoint among the boxes that may send to it, so that all together keep to it without a word
 * between them.
 *
 * <p>{@code int requests = shares.perSecond(18.65, ColdStartShares.CoordinationRole.FOR_ALL, view);}
 *
 * @since 0.8
 */
public interface ColdStartShares {
    /** For whom a box chooses endpoints. */
    enum CoordinationRole {
        /** It chooses for all boxes that hear it, and hears most boxes of its failure domain. */
        COORDINATOR,
        /** It chooses for itself. */
        STANDALONE
    }

    /**
     * What a box knows of the fleet.
     *
     * @param failureDomains failure domains that have boxes
     * @param amongFirst whether this box is one of the few that may send alone to the endpoint
     */
    record FleetView(int failureDomains, boolean standaloneSender) {}

    /** Boxes that may send to a cold endpoint alone; more where boxes know different ones, so their part is for twice as many. */
    int STANDALONE_BOXES = 2;

    /** Requests a second that all boxes that send alone may amount to: one of each, and of as many others. */
    int STANDALONE_REQUESTS = 2 * STANDALONE_BOXES;

    /**
     * Returns the requests that a box may send to a cold endpoint in any second.
     *
     * @param bearable requests in a second that the endpoint bears, from all boxes together
     * @param standing for whom the box chooses
     * @param view what it knows of the fleet
     * @return the requests; 0 for none
     */
    int perSecond(double bearable, CoordinationRole standing, FleetView view);

    /** Returns what is left for boxes that choose for others when those that send alone have theirs. */
    static double coordinatorRate(double bearable) {
        return bearable >= 2 * STANDALONE_REQUESTS ? bearable - STANDALONE_REQUESTS : bearable;
    }

    /** Returns what one box that chooses for itself may send in a second; small rates are left to those that choose for all. */
    static int standaloneRequests(double bearable, FleetView view) {
        return view.standaloneSender() && bearable >= 2 * STANDALONE_REQUESTS ? 1 : 0;
    }
}
