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
 * Manages one {@link StagePool} for each service that runs stages, and delegates pieces to coordinators. Confined to
 * the request loop.
 *
 * <p>{@code StageGraph graph = pools.graph(request, route, urgency, "kgn-a", listener); graph.begin();}
 *
 * @since 0.2
 */
public final class StagePools implements PieceHost {
    /**
     * Interval of the check whether coordinators are reachable, in ms; short compared with the shortest latency target.
     */
    private static final long COORDINATOR_CHECK_MS = 100;

    /** Expected wait for a free slot while the pool is not overloaded, as a fraction of the fixed time of a call. */
    private static final double SLOT_WAIT_FRACTION = 0.5;

    private final PoolContext context;
    private final RandomGenerator random;
    private final ResultCapacityTracker capacity;
    private final RoomReports roomReports;
    private final ResultFreer freer;
    private final Map<String, StagePool> pools = new HashMap<>();
    private final PeerMesh mesh;
    private final CoordinatorSelector coordinators;
    private final PoolWaitTable reportedWaits;
    private final DelegatedPieces delegated;
    private final PeerPieces peerPieces;

    /**
     * Creates empty pools.
     *
     * @param context shared dependencies
     * @param random breaks ties between endpoints
     * @param mesh links to other boxes
     * @param coordinators selects the coordinator of a service
     */
    public StagePools(PoolContext context, RandomGenerator random, PeerMesh mesh, CoordinatorSelector coordinators) {
        this.context = context;
        this.random = random;
        this.mesh = mesh;
        this.coordinators = coordinators;
        this.capacity = new ResultCapacityTracker(context.clock());
        this.roomReports = new RoomReports(context.loop(), context.stateQueries(), capacity);
        this.freer = new ResultFreer(
                context.loop(),
                context.client(),
                context.endpointProtocol(),
                mesh.pieces(),
                capacity,
                this::rateLimited);
        this.reportedWaits = new PoolWaitTable(context.clock());
        this.delegated = new DelegatedPieces(
                DelegatedPieces.WorkLinks.over(mesh.pieces()), context.clock(), this::submit, reportedWaits);
        this.peerPieces = new PeerPieces(context.loop(), mesh.pieces()::tellResults, context.clock(), new OwnPools());
    }

    /** Runs the pieces of other boxes in these pools. */
    private final class OwnPools implements PeerPieces.Pools {
        @Override
        public void submit(String service, List<PieceTask> tasks) {
            pool(service).submit(tasks);
        }

        @Override
        public long waitMs(String service, int rank) {
            return pool(service).waitMs(rank);
        }

        @Override
        public void free(PieceOutcome outcome) {
            freer.free(outcome);
        }
    }

    private boolean rateLimited(InetSocketAddress endpointAddress) {
        return context.endpoints()
                .findByAddress(endpointAddress)
                .map(context.statementReader()::limited)
                .orElse(false);
    }

    /** Starts the periodic check of the coordinators that this box delegated pieces to. */
    public void start() {
        PeriodicTask.startAligned(
                context.loop(), "silent-gatherers", COORDINATOR_CHECK_MS, this::resubmitFromUnreachableBoxes);
    }

    private void resubmitFromUnreachableBoxes() {
        delegated.boxes().stream().filter(box -> !mesh.peers().heard(box)).forEach(delegated::boxLost);
    }

    /** Returns whether the queues of later stages count in the admission of first ones. */
    boolean countsLaterQueues() {
        return context.policies().adaptive();
    }

    /**
     * Creates the stage graph of a request.
     *
     * @param request the request
     * @param route its route
     * @param urgency rank, target and deadline of the request
     * @param readerDomain failure domain where the request itself will likely run
     * @param listener notified when the stages are done or one of them has failed
     */
    public StageGraph graph(
            RelayRequest request,
            Route route,
            Urgency urgency,
            String readerDomain,
            StageGraph.StagesListener listener) {
        return new StageGraph(this, request, route, urgency, readerDomain, listener);
    }

    /**
     * Submits pieces to the coordinator of a service; runs them here if this box is the coordinator or has no link to
     * it.
     */
    void submit(String service, List<PieceTask> tasks) {
        String coordinator = coordinators.coordinatorOf(service);
        boolean given = coordinator != null && delegated.delegate(coordinator, service, tasks);
        if (!given) {
            pool(service).submit(tasks);
        }
    }

    /** Tells coordinators which delegated pieces were withdrawn. */
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

    /** Returns the number of queued pieces in all pools. */
    public int waiting() {
        return pools.values().stream().mapToInt(StagePool::waiting).sum();
    }

    /** Dispatches queued pieces of all pools, after endpoints were added or removed. */
    public void dispatchAll() {
        List.copyOf(pools.values()).forEach(StagePool::dispatch);
    }

    /** Abandons all calls to an endpoint that became unresponsive; their pieces are retried. */
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

    /**
     * Returns the wait of a group of the rank that arrives at a service now, in ms; 0 while the service is not
     * overloaded, or when its coordinator has not reported lately.
     */
    long waitMs(String service, int rank) {
        StagePool own = pools.get(service);
        long ownMs = own == null ? 0 : own.waitMs(rank);
        return Math.max(ownMs, reportedWaits.waitMs(service, rank));
    }

    /**
     * Returns the expected time of a stage, in ms; 0 when the service is not in the configuration.
     *
     * @param waitMs reported wait; the usual wait for a free slot is the minimum
     */
    long expectedMs(StageSpec stage, int pieces, long waitMs) {
        return context.config()
                .get()
                .service(stage.service())
                .flatMap(ServiceSpec::pool)
                .map(spec -> Math.round(spec.callMs(Math.min(pieces, spec.maxBatchSize()))
                        + Math.max(waitMs, SLOT_WAIT_FRACTION * spec.baseMs())))
                .orElse(0L);
    }

    /** Returns the failure domain of the endpoint that stores a result; empty when it is not known. */
    String domainOf(PieceOutcome outcome) {
        return context.endpoints().domainAt(outcome.endpointAddress());
    }

    ResultFreer freer() {
        return freer;
    }
}
