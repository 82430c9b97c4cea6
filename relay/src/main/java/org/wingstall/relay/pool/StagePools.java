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

    /** Part of a call without pieces for which a group waits until a slot is free, while the pool keeps up. */
    private static final double SLOT_WAIT_PART = 0.5;

    private final PoolParts parts;
    private final RandomGenerator random;
    private final RoomLedger ledger;
    private final RoomReports room;
    private final ResultFreer freer;
    private final Map<String, StagePool> pools = new HashMap<>();
    private final PeerMesh mesh;
    private final PieceGathering gathering;
    private final AskedPieces asked;
    private final GatheredPieces gathered;

    /**
     * Creates pools without pieces.
     *
     * @param parts what they share
     * @param random breaks ties between endpoints
     * @param mesh links to other boxes
     * @param gathering says which box gathers the pieces of a service
     */
    public StagePools(PoolParts parts, RandomGenerator random, PeerMesh mesh, PieceGathering gathering) {
        this.parts = parts;
        this.random = random;
        this.mesh = mesh;
        this.gathering = gathering;
        this.ledger = new RoomLedger(parts.clock());
        this.room = new RoomReports(parts.loop(), parts.reports(), ledger);
        this.freer = new ResultFreer(parts.loop(), parts.client(), parts.wire(), mesh.pieces(), ledger, this::spared);
        this.asked = new AskedPieces(mesh.pieces(), parts.clock(), this::submit);
        this.gathered = new GatheredPieces(mesh.pieces(), parts.clock(), this);
    }

    private boolean spared(InetSocketAddress maker) {
        return parts.endpoints().at(maker).map(parts.answers()::limited).orElse(false);
    }

    /** Begins to watch the boxes that gather for this one. */
    public void start() {
        PeriodicTask.start(parts.loop(), "silent-gatherers", () -> SILENCE_CHECK_MS, this::leaveSilent);
    }

    private void leaveSilent() {
        asked.boxes().stream().filter(box -> !mesh.peers().heard(box)).forEach(asked::lost);
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
    void submit(String service, List<PieceTicket> tickets) {
        String gatherer = gathering.gathererOf(service);
        boolean given = gatherer != null && asked.ask(gatherer, service, tickets);
        if (!given) {
            of(service).submit(tickets);
        }
    }

    /** Records that some tickets were withdrawn. */
    void withdrawn() {
        asked.tellWithdrawn();
    }

    @Override
    public void workCame(String boxId, long correlation, StageWork work) {
        gathered.workCame(boxId, correlation, work);
    }

    @Override
    public void withdrawn(String boxId, long correlation) {
        gathered.withdrawn(boxId, correlation);
    }

    @Override
    public void resultCame(String boxId, long correlation, StageResult result) {
        asked.resultCame(boxId, correlation, result);
    }

    @Override
    public void freed(StageFreed freed) {
        freer.free(freed);
    }

    @Override
    public void unlinked(String boxId) {
        gathered.unlinked(boxId);
        asked.lost(boxId);
    }

    /** Returns the pieces that wait in all pools. */
    public int waiting() {
        return pools.values().stream().mapToInt(StagePool::waiting).sum();
    }

    /** Offers what waits again, after endpoints came or went. */
    public void offerAll() {
        List.copyOf(pools.values()).forEach(StagePool::offer);
    }

    /** Has the work that an endpoint holds done elsewhere, since it fell silent. */
    public void abandon(RelayEndpoint endpoint) {
        StagePool pool = pools.get(endpoint.identity().service());
        if (pool != null) {
            pool.abandon(endpoint);
        }
    }

    StagePool of(String service) {
        return pools.computeIfAbsent(service, name -> new StagePool(name, parts, ledger, room, freer, random));
    }

    long nowMs() {
        return parts.clock().nowMs();
    }

    /** Returns the usual time of a stage's pieces, in ms; 0 while nothing is known of the service. */
    long usualMs(StageSpec stage, int pieces) {
        return parts.config()
                .get()
                .service(stage.service())
                .flatMap(ServiceSpec::pool)
                .map(spec -> Math.round(spec.callMs(Math.min(pieces, spec.batch())) + SLOT_WAIT_PART * spec.baseMs()))
                .orElse(0L);
    }

    /** Returns the failure domain where a result lies; empty when it is not known. */
    String domainOf(MadePiece made) {
        return parts.endpoints().domainAt(made.maker());
    }

    ResultFreer freer() {
        return freer;
    }
}
