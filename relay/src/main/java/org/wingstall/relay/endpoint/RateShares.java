package org.wingstall.relay.endpoint;

/**
 * Divides the requests that an endpoint takes from all boxes together among the boxes that may send to it, so that all keep to
 * it without a word between them.
 *
 * <p>{@code int requests = shares.perWindow(4.0, view);}
 */
interface RateShares {
    /**
     * What a box knows of the fleet.
     *
     * @param boxes boxes that are known, this one included
     * @param rank place of this box among them in the endpoint's order, which is the same at all boxes; from 0
     * @param probes whether it may always send one request, so that the end of the endpoint's need is found out
     * @param coordinatedPart least part of the boxes that it chose for at any moment of the last window; 0 when it began within
     */
    record FleetView(int boxes, int rank, boolean mayProbe, double coordinatedFraction) {}

    /**
     * Returns the requests that a box may send, or have others send, in any window.
     *
     * @param takes requests in a window that the endpoint takes from all boxes together
     * @param view what the box knows of the fleet
     * @return the requests; 0 for none
     */
    int perWindow(double takes, FleetView view);
}
