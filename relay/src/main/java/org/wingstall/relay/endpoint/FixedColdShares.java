package org.wingstall.relay.endpoint;

/**
 * Gives each failure domain an equal part, since in a fleet that is cut apart each part has a box that chooses for it.
 *
 * <p>{@code new FixedColdShares().perSecond(18.65, ColdShares.Standing.FOR_ALL, view)} is 4 with three failure domains.
 */
public final class FixedColdShares implements ColdShares {
    @Override
    public int perSecond(double bearable, Standing standing, FleetView view) {
        return switch (standing) {
            case ALONE -> ColdShares.alone(bearable, view);
            case FOR_ALL -> (int) Math.max(1, ColdShares.forChoosers(bearable) / Math.max(1, view.failureDomains()));
        };
    }
}
