package org.wingstall.relay.endpoint;

/**
 * Gives each known box the same share, and the remainder to the first boxes in the endpoint's order. Used for services
 * for which each box selects endpoints itself.
 */
final class EqualShares implements RateShares {
    @Override
    public int perWindow(double capacity, FleetView view) {
        // At least one request per window is needed to detect that the endpoint no longer advertises a limit.
        int requests = Math.max(1, (int) capacity);
        int remainder = view.rank() < requests % view.boxes() ? 1 : 0;
        return requests / view.boxes() + remainder;
    }
}
