package org.wingstall.gateway.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.wingstall.core.peer.LinkPlan;
import org.wingstall.peer.PeerMesh;
import org.wingstall.relay.endpoint.Fleet;

/** Says what a box knows of its fleet where requests to an endpoint are divided. Confined to the mesh's event loop. */
final class KnownFleet implements Fleet.Provider {
    private final String self;
    private final String failureDomain;
    private final PeerMesh mesh;
    private final BooleanSupplier settled;
    private final Predicate<String> coordinates;

    /**
     * Creates a view.
     *
     * @param self this box
     * @param failureDomain its failure domain
     * @param mesh links to the other boxes
     * @param settled whether this box has had time to learn of all others
     * @param coordinates whether it chooses the endpoints of a service for all boxes that it hears
     */
    KnownFleet(
            String self, String failureDomain, PeerMesh mesh, BooleanSupplier settled, Predicate<String> coordinates) {
        this.self = self;
        this.failureDomain = failureDomain;
        this.mesh = mesh;
        this.settled = settled;
        this.coordinates = coordinates;
    }

    @Override
    public Fleet snapshot() {
        List<LinkPlan.Box> boxes = mesh.boxes();
        Set<String> domains = new HashSet<>();
        int inDomain = 0;
        List<String> heard = new ArrayList<>(List.of(self));
        for (LinkPlan.Box box : boxes) {
            domains.add(box.failureDomain());
            inDomain += box.failureDomain().equals(failureDomain) ? 1 : 0;
            if (mesh.peers().heard(box.boxId())) {
                heard.add(box.boxId());
            }
        }
        return new Fleet(
                self,
                boxes.stream().map(LinkPlan.Box::boxId).toList(),
                heard,
                2 * mesh.peers().heardInDomain() > inDomain,
                domains.size());
    }

    @Override
    public boolean discoveryComplete() {
        return settled.getAsBoolean();
    }

    @Override
    public boolean coordinates(String service) {
        return coordinates.test(service);
    }
}
