package org.wingstall.relay.endpoint;

/**
 * Gives each failure domain an equal share, since in a partitioned fleet each partition has its own coordinator. One
 * more share is reserved for a box that becomes coordinator within the second and does not know what was granted
 * before.
 *
 * <p>{@code new EqualColdStartShares().requestsPerSecond(18.65, CoordinationRole.COORDINATOR, view)} is 3 with three
 * failure domains.
 */
public final class EqualColdStartShares implements ColdStartShares {
    /** Boxes that may become coordinator within a second, in all failure domains together. */
    private static final int HANDOVERS = 1;

    @Override
    public int requestsPerSecond(double capacityPerSecond, CoordinationRole role, FleetView view) {
        return switch (role) {
            case STANDALONE -> ColdStartShares.standaloneRequests(capacityPerSecond, view);
            case COORDINATOR ->
                (int) Math.max(
                        1, ColdStartShares.coordinatorRate(capacityPerSecond) / (view.failureDomains() + HANDOVERS));
        };
    }
}
