package org.wingstall.relay.endpoint;

/**
 * Leaves little to boxes whose coordinator did not answer in time: it may have given the endpoint's requests to others
 * meanwhile.
 */
final class FallbackShares implements RateShares {
    /** FleetBudget of what an endpoint takes that all such boxes together may send beyond it. */
    private static final double PART = 0.5;

    @Override
    public int perWindow(double takes, FleetView view) {
        int requests = (int) (PART * takes / view.boxes());
        return Math.max(requests, view.mayProbe() ? 1 : 0);
    }
}
