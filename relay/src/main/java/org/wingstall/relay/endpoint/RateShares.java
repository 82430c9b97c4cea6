package org.wingstall.relay.endpoint;

/**
 * Divides the rate that an endpoint takes from all boxes together among the boxes that may send to it, so that together
 * they stay within it without exchanging messages.
 *
 * <p>{@code int requests = shares.perWindow(4.0, view);}
 */
interface RateShares {
    /**
     * What a box knows about the fleet.
     *
     * @param boxes number of known boxes, including this one
     * @param rank position of this box in the endpoint's order of boxes, which is the same at all boxes; from 0
     * @param mayProbe whether it may always send one request, to detect that the endpoint's limit has ended
     * @param coordinatedFraction smallest fraction of the boxes that it selected for at any moment of the last window; 0
     * when it became coordinator within the window
     */
    record FleetView(int boxes, int rank, boolean mayProbe, double coordinatedFraction) {}

    /**
     * Returns the number of requests that a box may send, or have other boxes send, in any window.
     *
     * @param capacity requests per window that the endpoint takes from all boxes together
     * @param view what the box knows of the fleet
     * @return the number of requests; 0 for none
     */
    int perWindow(double capacity, FleetView view);
}
