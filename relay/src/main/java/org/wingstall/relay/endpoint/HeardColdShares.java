package org.wingstall.relay.endpoint;

/**
 * Gives the box that chooses for all most of what an endpoint bears while it hears every failure domain, and a small part to each
 * box that chooses in a part of a fleet that is cut apart. What the first one sent just before the cut and what the parts send
 * within the same second amount to no more than the endpoint bears.
 *
 * <p>{@code new HeardColdShares().perSecond(18.65, ColdShares.Standing.FOR_ALL, view)} is 10 with three failure domains that are
 * heard, and 2 else.
 */
public final class HeardColdShares implements ColdShares {
    /** Part of what an endpoint bears that all parts of a fleet share when it is cut apart. */
    private static final double CUT_SHARE = 0.5;

    @Override
    public int perSecond(double bearable, Standing standing, FleetView view) {
        return switch (standing) {
            case ALONE -> ColdShares.alone(bearable, view);
            case FOR_ALL -> forAll(ColdShares.forChoosers(bearable), view);
        };
    }

    private static int forAll(double bearable, FleetView view) {
        int domains = Math.max(1, view.failureDomains());
        int whenCut = (int) Math.max(1, CUT_SHARE * bearable / domains);
        int whole = (int) (bearable - (domains - 1) * whenCut);
        return view.allHeard() ? Math.max(whenCut, whole) : whenCut;
    }
}
