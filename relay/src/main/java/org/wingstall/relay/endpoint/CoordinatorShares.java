package org.wingstall.relay.endpoint;

/**
 * Gives the box that chooses for others the part of the requests that its boxes are of the fleet. In a fleet that is cut apart
 * the parts add up to the whole. A box that began to choose within the window does not know what the box before gave out, and
 * gets little until the window is over.
 */
final class CoordinatorShares implements RateShares {
    /** FleetBudget of the share of a box that does not hear all others: another one may choose for some of its boxes as well. */
    private static final double OVERLAP = 0.75;

    @Override
    public int perWindow(double takes, FleetView view) {
        double whole = view.coordinatedFraction() < 1 ? OVERLAP : 1;
        int requests = (int) (takes * whole * view.coordinatedFraction());
        return Math.max(requests, view.mayProbe() ? 1 : 0);
    }
}
