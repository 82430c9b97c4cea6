package org.wingstall.gateway.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.net.http.Connector;
import org.wingstall.peer.PeerMesh;
import org.wingstall.peer.PeerState;
import org.wingstall.relay.path.Detours;
import org.wingstall.schema.peer.TunnelRequest;

/** Leads connections to endpoints through the boxes that this box has links to. Confined to the request loop. */
final class PeerDetours implements Detours {
    /** Boxes that are tried for one connection. */
    private static final int MAX_BOXES = 3;

    private final String failureDomain;
    private final PeerMesh mesh;
    private final Random random;
    private boolean used;

    /**
     * Creates detours.
     *
     * @param failureDomain failure domain of this box
     * @param mesh links to the other boxes
     * @param random spreads connections over the boxes
     */
    PeerDetours(String failureDomain, PeerMesh mesh, Random random) {
        this.failureDomain = failureDomain;
        this.mesh = mesh;
        this.random = random;
    }

    /** Boxes in the failure domains at either end come first: their connections cross no further boundary. */
    @Override
    public List<String> boxesFor(EndpointIdentity endpoint) {
        List<String> near = List.of(failureDomain, endpoint.failureDomain());
        List<PeerState> boxes = new ArrayList<>();
        for (PeerState peer : mesh.peers().all()) {
            boolean usable = mesh.peers().heard(peer)
                    && !peer.stopping()
                    && !peer.poorlyReached().contains(endpoint.service())
                    && mesh.pieces().linked(peer.hello().getBoxId());
            if (usable) {
                boxes.add(peer);
            }
        }
        Collections.shuffle(boxes, random);
        boxes.sort(Comparator.comparing(peer -> !near.contains(peer.hello().getFailureDomain())));
        return boxes.stream()
                .limit(MAX_BOXES)
                .map(peer -> peer.hello().getBoxId())
                .toList();
    }

    /** Returns whether a connection was ever led through another box. */
    boolean used() {
        return used;
    }

    @Override
    public void open(String boxId, EndpointIdentity endpoint, int timeoutMs, Connector.Listener listener) {
        used = true;
        TunnelRequest request = new TunnelRequest(endpoint.memberId(), endpoint.incarnation());
        mesh.tunnels().open(boxId, request, timeoutMs, listener);
    }
}
