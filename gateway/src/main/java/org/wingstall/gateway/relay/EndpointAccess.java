package org.wingstall.gateway.relay;

import io.netty.channel.EventLoop;
import java.util.Set;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.PeriodicTask;
import org.wingstall.peer.PeerMesh;
import org.wingstall.relay.endpoint.EndpointReach;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.pool.CoordinatorSelector;
import org.wingstall.relay.pool.RendezvousCoordinatorSelector;

/** Follows which endpoints this box reaches, and tells the other boxes. Confined to the request loop. */
final class EndpointAccess {
    /** Interval between two counts of the endpoints that are reached, in ms; short compared with a heartbeat. */
    private static final long REACH_INTERVAL_MS = 50;

    private final String self;
    private final EndpointReach reach;
    private PeerMesh mesh;

    EndpointAccess(String self, RelayEndpoints endpoints, MonotonicClock clock) {
        this.self = self;
        this.reach = new EndpointReach(endpoints, RelayEndpoint::responding, clock);
    }

    /** Sets the links to the other boxes; before the start. */
    void attach(PeerMesh peerMesh) {
        mesh = peerMesh;
    }

    /** Returns a selector of coordinators among the boxes that reach the endpoints of a service. */
    CoordinatorSelector coordinators() {
        return new RendezvousCoordinatorSelector(
                self, () -> mesh.peers().serving(), mesh.pieces()::linked, mesh::carries, this::reaches);
    }

    /** Starts to follow and to tell. */
    void start(EventLoop loop) {
        PeriodicTask.start(loop, "endpoint-reach", () -> REACH_INTERVAL_MS, this::update);
    }

    /** Tells the other boxes of a change at once, since this box may coordinate a service for them. */
    private void update() {
        if (reach.update()) {
            mesh.beatNow();
        }
    }

    EndpointReach reach() {
        return reach;
    }

    /** Returns the services that this box reaches poorly; can be read on any thread. */
    Set<String> poorlyReached() {
        return reach.poorlyReached();
    }

    /** Returns whether a box, this one included, reaches the endpoints of a service. */
    boolean reaches(String boxId, String service) {
        return boxId.equals(self)
                ? !reach.poorlyReached().contains(service)
                : mesh.peers().reaches(boxId, service);
    }
}
