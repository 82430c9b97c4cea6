package org.wingstall.relay.endpoint;

/**
 * Gives a small share of the rate to boxes whose coordinator did not respond in time, since it may have granted the
 * endpoint's requests to other boxes meanwhile.
 */
final class FallbackShares implements RateShares {
    /** Fraction of the endpoint's rate that all such boxes together may send beyond that rate. */
    private static final double FRACTION = 0.5;

    @Override
    public int perWindow(double capacity, FleetView view) {
        int requests = (int) (FRACTION * capacity / view.boxes());
        return Math.max(requests, view.mayProbe() ? 1 : 0);
    }
}
