package org.wingstall.relay.endpoint;

import java.util.List;

/**
 * The fleet as one box knows it.
 *
 * <p>{@code Fleet now = view.now();}
 *
 * @param self this box
 * @param boxes all boxes that are known, this one included
 * @param heard those of them that are heard, this one included
 * @param choosesForAll whether this box hears most boxes of its failure domain, so that no other chooses there
 * @param failureDomains failure domains that have boxes
 * @since 0.9
 */
public record Fleet(
        String self, List<String> boxes, List<String> heard, boolean reachesDomainMajority, int failureDomains) {
    /** Looks at the fleet. */
    public interface Provider {
        /** Returns the fleet as it is known now. */
        Fleet snapshot();

        /** Returns whether this box has had time to learn of all others. */
        boolean discoveryComplete();

        /** Returns whether this box chooses the endpoints of a service for all boxes that it hears. */
        boolean coordinates(String service);
    }
}
