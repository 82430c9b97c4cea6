package org.wingstall.relay.endpoint;

/**
 * Gives each box that is known the same share, and what is left over to the first boxes in the endpoint's order: for services
 * whose endpoints each box chooses for itself.
 */
final class EqualShares implements RateShares {
    @Override
    public int perWindow(double takes, FleetView view) {
        // One request in a window finds out when the endpoint is in need no longer.
        int requests = Math.max(1, (int) takes);
        int leftOver = view.rank() < requests % view.boxes() ? 1 : 0;
        return requests / view.boxes() + leftOver;
    }
}
