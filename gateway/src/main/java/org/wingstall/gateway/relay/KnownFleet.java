package org.wingstall.gateway.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.wingstall.core.peer.LinkPlan;
import org.wingstall.peer.PeerMesh;
import org.wingstall.relay.endpoint.ColdLimits;

/** Says what a box knows of its fleet where requests to cold endpoints are divided. Confined to the mesh's event loop. */
final class KnownFleet implements Supplier<ColdLimits.Fleet> {
    private final String self;
    private final String failureDomain;
    private final PeerMesh mesh;
    private final BooleanSupplier settled;

    KnownFleet(String self, String failureDomain, PeerMesh mesh, BooleanSupplier settled) {
        this.self = self;
        this.failureDomain = failureDomain;
        this.mesh = mesh;
        this.settled = settled;
    }

    @Override
    public ColdLimits.Fleet get() {
        List<LinkPlan.Box> boxes = mesh.boxes();
        Set<String> domains = new HashSet<>();
        int inDomain = 0;
        for (LinkPlan.Box box : boxes) {
            domains.add(box.failureDomain());
            inDomain += box.failureDomain().equals(failureDomain) ? 1 : 0;
        }
        return new ColdLimits.Fleet(
                self,
                boxes.stream().map(LinkPlan.Box::boxId).toList(),
                settled.getAsBoolean(),
                2 * mesh.peers().heardInDomain() > inDomain,
                domains.size());
    }
}
