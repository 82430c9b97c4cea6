package org.wingstall.core.limit;

/**
 * Calculates each gateway's share of a workspace's fleet-wide limit without a coordinator.
 *
 * <p>Every known box owns an equal part of the limit. The parts of all boxes that a gateway can reach are pooled: a
 * quarter of the pool is divided evenly as a minimum share, the rest in proportion to demand. The parts of unreachable
 * boxes stay reserved for them, so that the two sides of a network partition together never exceed the limit.
 *
 * <p>{@code double perSecond = WorkspaceShares.share(100, 9, 3, own, reachable);}
 *
 * @since 0.1
 */
public final class WorkspaceShares {
    private static final double EQUAL_FRACTION = 0.25;

    private WorkspaceShares() {}

    /**
     * Returns a gateway's share.
     *
     * @param limitPerSecond the workspace's limit for the whole fleet
     * @param knownBoxes entry boxes in the fleet, including this one
     * @param reachableBoxes entry boxes whose heartbeats arrived recently, including this one
     * @param ownPerSecond arrivals per second on this box
     * @param reachablePerSecond arrivals per second on all reachable boxes, including this one
     * @return requests per second that this gateway may accept
     */
    public static double share(
            double limitPerSecond, int knownBoxes, int reachableBoxes, double ownPerSecond, double reachablePerSecond) {
        int known = Math.max(1, Math.max(knownBoxes, reachableBoxes));
        double reachableLimit = limitPerSecond * reachableBoxes / known;
        double equalShare = reachableLimit / reachableBoxes;
        if (reachablePerSecond <= 0) {
            return equalShare;
        }
        double byDemand = reachableLimit * Math.min(1, ownPerSecond / reachablePerSecond);
        return EQUAL_FRACTION * equalShare + (1 - EQUAL_FRACTION) * byDemand;
    }
}
