package org.wingstall.relay.endpoint;

/**
 * Gives each failure domain an equal part, since in a fleet that is cut apart each part has a box that chooses for it, and keeps
 * one more for a box that begins to choose within the second and knows nothing of what was given out before.
 *
 * <p>{@code new EqualColdStartShares().perSecond(18.65, ColdStartShares.CoordinationRole.FOR_ALL, view)} is 3 with three failure domains.
 */
public final class EqualColdStartShares implements ColdStartShares {
    /** Boxes that may begin to choose within a second, of all failure domains together. */
    private static final int HANDOVERS = 1;

    @Override
    public int perSecond(double bearable, CoordinationRole standing, FleetView view) {
        return switch (standing) {
            case STANDALONE -> ColdStartShares.standaloneRequests(bearable, view);
            case COORDINATOR ->
                (int) Math.max(1, ColdStartShares.coordinatorRate(bearable) / (view.failureDomains() + HANDOVERS));
        };
    }
}
