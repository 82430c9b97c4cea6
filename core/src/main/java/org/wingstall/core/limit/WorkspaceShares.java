package org.wingstall.core.limit;

/**
 * Divides a workspace's fleet-wide limit among gateways without a coordinator.
 *
 * <p>Every known box owns an equal part of the limit. The parts of the boxes that a gateway hears are pooled: a quarter of
 * the pool is spread evenly as a floor, the rest follows demand. The parts of boxes that are not heard stay reserved for
 * them, so that two sides of a cut together never exceed the limit.
 *
 * <p>{@code double perSecond = WorkspaceShares.share(100, 9, 3, own, heard);}
 *
 * @since 0.1
 */
public final class WorkspaceShares {
    private static final double FLOOR = 0.25;

    private WorkspaceShares() {}

    /**
     * Returns a gateway's share.
     *
     * @param limitPerSecond the workspace's limit for the whole fleet
     * @param knownBoxes entry boxes in the fleet, this one included
     * @param heardBoxes entry boxes heard lately, this one included
     * @param ownPerSecond arrivals a second here
     * @param heardPerSecond arrivals a second at all boxes heard, this one included
     * @return requests a second that this gateway accepts
     */
    public static double share(
            double limitPerSecond, int knownBoxes, int reachableBoxes, double ownPerSecond, double reachablePerSecond) {
        int known = Math.max(1, Math.max(knownBoxes, reachableBoxes));
        double pool = limitPerSecond * reachableBoxes / known;
        double even = pool / reachableBoxes;
        if (reachablePerSecond <= 0) {
            return even;
        }
        double byDemand = pool * Math.min(1, ownPerSecond / reachablePerSecond);
        return FLOOR * even + (1 - FLOOR) * byDemand;
    }
}
