package org.wingstall.relay.pool;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.wingstall.net.PeriodicTask;
import org.wingstall.peer.PeerMesh;
import org.wingstall.peer.PieceHost;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.config.ServiceSpec;
import org.wingstall.relay.config.StageSpec;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.wire.RelayRequest;
import org.wingstall.schema.peer.StageFreed;
import org.wingstall.schema.peer.StageResult;
import org.wingstall.schema.peer.StageWork;

/**
 * The pools of all services whose endpoints do the work of stages. Confined to the request loop.
 *
 * <p>{@code StageGraph graph = pools.graph(request, route, urgency, "kgn-a", listener); graph.begin();}
 *
 * @since 0.2
 */
public final class StagePools implements PieceHost {
    /** Pause between two looks at whether a box that gathers is heard, in ms; short against the shortest target. */
    private static final long SILENCE_CHECK_MS = 100;

    /** FleetBudget of a call without pieces for which a group waits until a slot is free, while the pool keeps up. */
    private static final double SLOT_WAIT_FRACTION = 0.5;

    private final PoolContext context;
    private final RandomGenerator random;
    private final ResultCapacityTracker capacity;
    private final RoomReports roomReports;
    private final ResultFreer freer;
    private final Map<String, StagePool> pools = new HashMap<>();
    private final PeerMesh mesh;
    private final CoordinatorSelector coordinators;
    private final DelegatedPieces delegated;
    private final PeerPieces peerPieces;

    /**
     * Creates pools without pieces.
     *
     * @param parts what they share
     * @param random breaks ties between endpoints
     * @param mesh links to other boxes
     * @param gathering says which box gathers the pieces of a service
     */
    public StagePools(PoolContext parts, RandomGenerator random, PeerMesh mesh, CoordinatorSelector coordinators) {
        this.context = parts;
        this.random = random;
        this.mesh = mesh;
        this.coordinators = coordinators;
        this.capacity = new ResultCapacityTracker(parts.clock());
        this.roomReports = new RoomReports(parts.loop(), parts.stateQueries(), capacity);
        this.freer = new ResultFreer(
                parts.loop(), parts.client(), parts.endpointProtocol(), mesh.pieces(), capacity, this::rateLimited);
        this.delegated = new DelegatedPieces(mesh.pieces(), parts.clock(), this::submit);
        this.peerPieces = new PeerPieces(mesh.pieces(), parts.clock(), this);
    }

    private boolean rateLimited(InetSocketAddress maker) {
        return context.endpoints()
                .findByAddress(maker)
                .map(context.limitReader()::limited)
                .orElse(false);
    }

    /** Begins to watch the boxes that gather for this one. */
    public void start() {
        PeriodicTask.start(context.loop(), "silent-gatherers", () -> SILENCE_CHECK_MS, this::resubmitFromSilentBoxes);
    }

    private void resubmitFromSilentBoxes() {
        delegated.boxes().stream().filter(box -> !mesh.peers().heard(box)).forEach(delegated::boxLost);
    }

    /**
     * Creates the stages of a request.
     *
     * @param request the request
     * @param route its route
     * @param urgency its order among requests
     * @param readerDomain failure domain where the request itself will likely run
     * @param listener told of the end
     */
    public StageGraph graph(
            RelayRequest request,
            Route route,
            Urgency urgency,
            String readerDomain,
            StageGraph.StagesListener listener) {
        return new StageGraph(this, request, route, urgency, readerDomain, listener);
    }

    /** Has pieces made by the box that gathers them, which may be this one. */
    void submit(String service, List<PieceTask> tickets) {
        String coordinator = coordinators.coordinatorOf(service);
        boolean given = coordinator != null && delegated.delegate(coordinator, service, tickets);
        if (!given) {
            pool(service).submit(tickets);
        }
    }

    /** Records that some tickets were withdrawn. */
    void withdrawn() {
        delegated.announceWithdrawn();
    }

    @Override
    public void workCame(String boxId, long correlation, StageWork work) {
        peerPieces.workReceived(boxId, correlation, work);
    }

    @Override
    public void withdrawn(String boxId, long correlation) {
        peerPieces.withdrawn(boxId, correlation);
    }

    @Override
    public void resultCame(String boxId, long correlation, StageResult result) {
        delegated.resultReceived(boxId, correlation, result);
    }

    @Override
    public void freed(StageFreed freed) {
        freer.free(freed);
    }

    @Override
    public void unlinked(String boxId) {
        peerPieces.unlinked(boxId);
        delegated.boxLost(boxId);
    }

    /** Returns the pieces that wait in all pools. */
    public int waiting() {
        return pools.values().stream().mapToInt(StagePool::waiting).sum();
    }

    /** Offers what waits again, after endpoints came or went. */
    public void dispatchAll() {
        List.copyOf(pools.values()).forEach(StagePool::dispatch);
    }

    /** Has the work that an endpoint holds done elsewhere, since it fell silent. */
    public void abandon(RelayEndpoint endpoint) {
        StagePool pool = pools.get(endpoint.identity().service());
        if (pool != null) {
            pool.abandon(endpoint);
        }
    }

    StagePool pool(String service) {
        return pools.computeIfAbsent(
                service, name -> new StagePool(name, context, capacity, roomReports, freer, random));
    }

    long nowMs() {
        return context.clock().nowMs();
    }

    /** Returns the usual time of a stage's pieces, in ms; 0 while nothing is known of the service. */
    long expectedMs(StageSpec stage, int pieces) {
        return context.config()
                .get()
                .service(stage.service())
                .flatMap(ServiceSpec::pool)
                .map(spec -> Math.round(
                        spec.callMs(Math.min(pieces, spec.maxBatchSize())) + SLOT_WAIT_FRACTION * spec.baseMs()))
                .orElse(0L);
    }

    /** Returns the failure domain where a result lies; empty when it is not known. */
    String domainOf(PieceOutcome made) {
        return context.endpoints().domainAt(made.endpointAddress());
    }

    ResultFreer freer() {
        return freer;
    }
}
