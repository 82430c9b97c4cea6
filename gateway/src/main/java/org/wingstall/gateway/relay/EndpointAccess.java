package org.wingstall.gateway.relay;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.wingstall.core.peer.LinkPlan;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.PeriodicTask;
import org.wingstall.net.http.AnswerLimits;
import org.wingstall.net.http.Connector;
import org.wingstall.net.http.DirectConnector;
import org.wingstall.net.http.HttpClient;
import org.wingstall.peer.PeerMesh;
import org.wingstall.relay.endpoint.EndpointReach;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.path.EndpointPaths;
import org.wingstall.relay.path.PathConnector;
import org.wingstall.relay.pool.CoordinatorSelector;
import org.wingstall.relay.pool.RendezvousCoordinatorSelector;
import org.wingstall.relay.stream.DomainOriginHolders;
import org.wingstall.relay.stream.OriginHolders;
import org.wingstall.relay.stream.StreamOrigins;
import org.wingstall.schema.settings.RelaySettings;

/**
 * Leads to the endpoints: directly, or through other boxes while direct paths are lost. Tells the other boxes which
 * services this box reaches. Confined to the request loop.
 */
final class EndpointAccess {
    /** As large as the largest request; all together a fifth of the heap. */
    private static final AnswerLimits ANSWERS = new AnswerLimits(4 << 20, 32 << 20);

    /** Interval between two counts of the endpoints that are reached, in ms; short compared with a heartbeat. */
    private static final long REACH_INTERVAL_MS = 100;

    private final String self;
    private final String failureDomain;
    private final EventLoop loop;
    private final PeerMesh mesh;
    private final RelayEndpoints endpoints;
    private final PeerDetours detours;
    private final EndpointPaths paths;
    private final EndpointReach reach;
    private final HttpClient client;
    private Set<String> lastTold = Set.of();

    /**
     * Creates direct access to all endpoints.
     *
     * @param settings settings of the process
     * @param loop the request loop
     * @param clock monotonic clock
     * @param mesh links to the other boxes
     * @param endpoints endpoints of all services
     * @param onPathLost receives an endpoint whose direct path is lost, so that its work is moved
     */
    EndpointAccess(
            RelaySettings settings,
            EventLoop loop,
            MonotonicClock clock,
            PeerMesh mesh,
            RelayEndpoints endpoints,
            Consumer<RelayEndpoint> onPathLost) {
        this.self = settings.getBoxId();
        this.failureDomain = settings.getFailureDomain();
        this.loop = loop;
        this.mesh = mesh;
        this.endpoints = endpoints;
        Connector direct = new DirectConnector();
        this.detours = new PeerDetours(settings.getFailureDomain(), mesh, new Random());
        this.paths = new EndpointPaths(loop, clock, endpoints, direct, detours, endpoint -> {
            directPathLost(endpoint);
            onPathLost.accept(endpoint);
        });
        this.client = new HttpClient(new PathConnector(clock, endpoints, paths, direct, detours), ANSWERS);
        this.reach = new EndpointReach(endpoints, endpoint -> endpoint.responding() && !paths.lost(endpoint), clock);
        mesh.tunnels().attach(this::tunnelTarget);
    }

    private void directPathLost(RelayEndpoint endpoint) {
        client.directPathLost(loop, endpoint.identity().address());
    }

    /** Other boxes are connected only with endpoints that this box reaches itself and that take new work. */
    private Optional<InetSocketAddress> tunnelTarget(String endpointId, long incarnation) {
        return endpoints
                .find(endpointId)
                .filter(endpoint -> endpoint.identity().incarnation() == incarnation)
                .filter(endpoint -> !endpoint.state().leaving() && !paths.lost(endpoint))
                .map(endpoint -> endpoint.identity().address());
    }

    /** Returns the client for calls to endpoints. */
    HttpClient client() {
        return client;
    }

    /** Returns a selector of coordinators among the boxes that reach the endpoints of a service. */
    CoordinatorSelector coordinators() {
        return new RendezvousCoordinatorSelector(
                self, () -> mesh.peers().serving(), mesh.pieces()::linked, mesh::carries, this::reaches);
    }

    /** Connects a directory of the origins of streams with the other boxes. */
    StreamOrigins streamOrigins(MonotonicClock clock, StreamOrigins.ListRefresh list, RelayMetrics metrics) {
        OriginHolders holders = new DomainOriginHolders(
                failureDomain, this::linkedHubs, this::allHubsLinked, DomainOriginHolders.Spread.STANDARD);
        StreamOrigins origins =
                new StreamOrigins(self, loop, clock, holders, mesh.streamOrigins(), endpoints, list, metrics);
        mesh.attach(origins);
        return origins;
    }

    /** Boxes that have been linked but not heard yet can be asked as well. */
    private Collection<LinkPlan.Box> linkedHubs() {
        return otherHubs().filter(box -> mesh.pieces().linked(box.boxId())).toList();
    }

    private boolean allHubsLinked() {
        return otherHubs().allMatch(box -> mesh.pieces().linked(box.boxId()));
    }

    private Stream<LinkPlan.Box> otherHubs() {
        return mesh.boxes().stream().filter(box -> !box.boxId().equals(self) && mesh.carries(box.boxId()));
    }

    /** Starts to follow and to tell. */
    void start(RelayMetrics metrics) {
        paths.start();
        PeriodicTask.startAligned(loop, "endpoint-reach", REACH_INTERVAL_MS, this::update, metrics::recordLoopDelay);
    }

    /** Tells the other boxes of a change at once, since this box may coordinate a service for them. */
    private void update() {
        if (reach.update()) {
            mesh.beatNow();
        }
        checkServicesOfPeers();
        if (detours.used()) {
            client.closeIdle(loop, this::leadsThroughStoppingBox);
        }
    }

    /**
     * Tries the paths to the endpoints of a service that another box has come to reach poorly: this box may be cut off
     * as well, and would find out only by the work of others if it coordinates the service next.
     */
    private void checkServicesOfPeers() {
        Set<String> told = mesh.peers().poorlyReached();
        if (mesh.carries(self)) {
            told.stream()
                    .filter(service -> !lastTold.contains(service))
                    .flatMap(service -> endpoints.ofService(service).stream())
                    .forEach(paths::check);
        }
        lastTold = told;
    }

    private boolean leadsThroughStoppingBox(Channel channel) {
        return Connector.viaBox(channel)
                .filter(boxId -> !mesh.peers().serving().contains(boxId))
                .isPresent();
    }

    /** Tries the direct path to an endpoint that did not respond. */
    void check(RelayEndpoint endpoint) {
        paths.check(endpoint);
    }

    EndpointReach reach() {
        return reach;
    }

    /** Returns the number of endpoints whose direct path is lost. */
    int lostPaths() {
        return paths.lostPaths();
    }

    /** Returns whether a box, this one included, reaches the endpoints of a service. */
    private boolean reaches(String boxId, String service) {
        return boxId.equals(self)
                ? !reach.poorlyReached().contains(service)
                : mesh.peers().reaches(boxId, service);
    }
}
