package org.wingstall.relay.endpoint;

/**
 * Gives a coordinator the fraction of the rate that corresponds to the fraction of the fleet that it selects for. In a
 * partitioned fleet the shares of all coordinators add up to the rate. A box that became coordinator within the window
 * does not know what its predecessor granted, and gets little until the window is over.
 */
final class CoordinatorShares implements RateShares {
    /** Factor on the share of a coordinator that does not reach all boxes: another may select for some as well. */
    private static final double OVERLAP = 0.75;

    @Override
    public int perWindow(double capacity, FleetView view) {
        double factor = view.coordinatedFraction() < 1 ? OVERLAP : 1;
        int requests = (int) (capacity * factor * view.coordinatedFraction());
        return Math.max(requests, view.mayProbe() ? 1 : 0);
    }
}
