package org.wingstall.relay.endpoint;

import java.util.List;

/**
 * Describes the fleet as one box knows it.
 *
 * <p>{@code Fleet fleet = provider.snapshot();}
 *
 * @param self this box
 * @param boxes all known boxes, including this one
 * @param reachable those among them that are reachable, whose heartbeats arrived recently, including this one
 * @param reachesDomainMajority whether this box reaches most boxes of its failure domain, so that no other box is
 * coordinator there
 * @param failureDomains number of failure domains that have boxes
 * @since 0.9
 */
public record Fleet(
        String self, List<String> boxes, List<String> reachable, boolean reachesDomainMajority, int failureDomains) {
    /** Provides the current view of the fleet. */
    public interface Provider {
        /** Returns the fleet as this box knows it now. */
        Fleet snapshot();

        /** Returns whether this box has had time to discover all others. */
        boolean discoveryComplete();

        /** Returns whether this box selects the endpoints of a service for all boxes that it reaches. */
        boolean coordinates(String service);
    }
}
