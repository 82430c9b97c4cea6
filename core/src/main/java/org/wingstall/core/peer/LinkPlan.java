package org.wingstall.core.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Determines the links between gateways: all pairs within a failure domain, and two gateways of each domain for every
 * pair of domains.
 *
 * <p>{@code Set<String> links = LinkPlan.linksOf(self, boxes);}
 *
 * @since 0.1
 */
public final class LinkPlan {
    private static final int LINKED_BOXES_PER_DOMAIN = 2;

    private LinkPlan() {}

    /**
     * A gateway to link.
     *
     * @param boxId identifier of the gateway's box
     * @param failureDomain failure domain of the box
     * @param capacity processor time of the box, in hundredths of a core; 0 if unknown
     */
    public record Box(String boxId, String failureDomain, int capacity) {
        /** Creates a gateway with unknown capacity. */
        public Box(String boxId, String failureDomain) {
            this(boxId, failureDomain, 0);
        }

        /**
         * Compares the fields directly. The method that records generate runs on method handles, which are slow until they
         * are compiled, and boxes are compared while all of a fleet start.
         */
        @Override
        public boolean equals(Object other) {
            return this == other
                    || other instanceof Box box
                            && capacity == box.capacity
                            && boxId.equals(box.boxId)
                            && failureDomain.equals(box.failureDomain);
        }

        @Override
        public int hashCode() {
            return boxId.hashCode();
        }
    }

    /**
     * Returns the boxes that a gateway is linked to.
     *
     * @param self the gateway
     * @param boxes gateways that are believed to be alive
     * @return box identifiers
     */
    public static Set<String> linksOf(Box self, Collection<Box> boxes) {
        Map<String, List<String>> domains = new TreeMap<>();
        domains.computeIfAbsent(self.failureDomain(), domain -> new ArrayList<>())
                .add(self.boxId());
        for (Box box : boxes) {
            if (!box.boxId().equals(self.boxId())) {
                domains.computeIfAbsent(box.failureDomain(), domain -> new ArrayList<>())
                        .add(box.boxId());
            }
        }
        Set<String> links = new HashSet<>(domains.get(self.failureDomain()));
        links.remove(self.boxId());
        domains.forEach((domain, ids) -> {
            if (!domain.equals(self.failureDomain()) && isLinkBox(self, domain, domains.get(self.failureDomain()))) {
                links.addAll(RendezvousHash.top(pairKey(self.failureDomain(), domain), ids, LINKED_BOXES_PER_DOMAIN));
            }
        });
        return links;
    }

    private static boolean isLinkBox(Box self, String otherDomain, Collection<String> own) {
        return RendezvousHash.top(pairKey(self.failureDomain(), otherDomain), own, LINKED_BOXES_PER_DOMAIN)
                .contains(self.boxId());
    }

    private static String pairKey(String one, String other) {
        return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
    }
}
