package org.wingstall.gateway.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.answer.RetryAfter;
import org.wingstall.core.member.Addresses;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.gateway.crash.CrashReports;
import org.wingstall.net.BindException;
import org.wingstall.net.EventLoops;
import org.wingstall.net.Listener;
import org.wingstall.net.SheddingGate;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.http.HttpLimits;
import org.wingstall.net.http.HttpServer;
import org.wingstall.net.http.Rejection;
import org.wingstall.net.log.LogEvent;
import org.wingstall.peer.PeerMesh;
import org.wingstall.platform.PlatformCallerWire;
import org.wingstall.platform.PlatformEndpointWire;
import org.wingstall.relay.config.ClientLimits;
import org.wingstall.relay.config.Regions;
import org.wingstall.relay.config.ServiceSpec;
import org.wingstall.relay.control.ConfigFreshness;
import org.wingstall.relay.control.EvacuationState;
import org.wingstall.relay.control.ListFollower;
import org.wingstall.relay.control.RelayPeerHost;
import org.wingstall.relay.control.RelayState;
import org.wingstall.relay.endpoint.EndpointReports;
import org.wingstall.relay.endpoint.LeastLoaded;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.endpoint.SilenceWatch;
import org.wingstall.relay.engine.EngineSelector;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.log.RequestLog;
import org.wingstall.relay.pool.CoordinatorSelector;
import org.wingstall.relay.pool.PoolContext;
import org.wingstall.relay.pool.PoolPolicies;
import org.wingstall.relay.pool.StagePools;
import org.wingstall.relay.run.RelayContext;
import org.wingstall.relay.run.RelayHandler;
import org.wingstall.relay.run.ServiceRetryBudgets;
import org.wingstall.relay.stream.StreamOrigins;
import org.wingstall.relay.wire.EndpointProtocol;
import org.wingstall.schema.settings.RelaySettings;

/**
 * One gateway on the users' platform: puts its parts together, starts and stops them.
 *
 * <p>{@code RelayGateway gateway = RelayGateway.listening(settings); gateway.start(); ... gateway.stop(); gateway.close();}
 *
 * @since 0.2
 */
public final class RelayGateway implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(RelayGateway.class);

    /** Connections of callers at once; leaves descriptors for endpoints out of the platform's 4,100. */
    private static final int MOST_CONNECTIONS = 2000;

    /** Boxes that share a retry budget at least, also while fewer are known; the users' smallest fleets have 8 or 9. */
    private static final int LEAST_BOXES = 9;

    /**
     * Longest time after the start that callers' connections wait for a first configuration and list, in ms: boxes that start
     * together have both later than one alone, and would turn callers away until then. Callers of requests with little time
     * leave by themselves.
     */
    private static final long START_PATIENCE_MS = 800;

    /** Pause between looks whether both are there, in ms; a tenth of the time that they usually take. */
    private static final long KNOWN_CHECK_MS = 5;

    /** Longest wait for threads to end, in ms. */
    private static final long CLOSE_MS = 2000;

    private final MonotonicClock clock = System::nanoTime;
    private final RandomGenerator random = new SplittableRandom();
    private volatile RelaySettings settings;
    private final EventLoop control = EventLoops.group("control", 1).next();
    private final EventLoopGroup requests;
    private final HttpClient client = new HttpClient();
    private final RelayState state = new RelayState(clock);
    private final ConfigFreshness configFreshness;
    private final EvacuationState evacuations = new EvacuationState(clock, this::evacuate);
    private final RelayEndpoints endpoints = new RelayEndpoints(clock);
    private final EndpointAccess access;
    private final RelayMetrics metrics = new RelayMetrics();
    private final ServiceRetryBudgets budgets;
    private final PeerMesh mesh;
    private final StagePools pools;
    private final RequestLimits limits;
    private final SilenceWatch silence;
    private final CrashReports crashes;
    private final EngineSelector engines;
    private final StreamOrigins streamOrigins;
    private final RelayHandler handler;
    private final StoreFollowers store;
    private final SheddingGate gate;
    private final HttpServer callers;
    private final StartTimeline startTimeline = new StartTimeline(clock);
    private volatile boolean stopping;

    /**
     * Begins to listen for callers and puts a gateway together. Callers who connect from here on wait for the rest of the
     * start instead of being turned away.
     *
     * @param settings settings of the process
     * @return the gateway, to be started
     * @throws BindException if the callers' address can't be had
     */
    public static RelayGateway listening(RelaySettings settings) throws BindException {
        EventLoopGroup requests = EventLoops.group("requests", 1);
        Listener callers = Listener.bind(requests, Addresses.parse(settings.getCallerAddress()));
        return new RelayGateway(settings, requests, callers);
    }

    private RelayGateway(RelaySettings settings, EventLoopGroup requests, Listener listener) {
        this.settings = settings;
        this.requests = requests;
        EventLoop loop = requests.next();
        this.configFreshness = new ConfigFreshness(clock, settings.getConfigWithinMs());
        EndpointProtocol wire = new PlatformEndpointWire();
        this.budgets = new ServiceRetryBudgets(budgetPart(settings, LEAST_BOXES));
        this.mesh = new PeerMesh(
                PeerSettings.of(settings),
                new RelayPeerHost(
                        state,
                        evacuations,
                        () -> stopping,
                        version -> store().newerConfigHeard(version),
                        this::listFollower,
                        () -> access().reach().poorlyReached(),
                        configFreshness),
                loop,
                clock);
        this.access = new EndpointAccess(settings, loop, clock, mesh, endpoints, this::moveWork);
        this.crashes =
                CrashReports.over(settings.getBoxId(), mesh.crashes(), loop, clock, report -> store().keep(report));
        crashes.setLossListener(endpoints::recordReportedLoss);
        CoordinatorSelector gathering = access.coordinators();
        this.limits = new RequestLimits(
                () -> this.settings,
                loop,
                clock,
                state,
                mesh,
                gathering,
                () -> store().boxesSettled(),
                endpoints,
                metrics);
        EndpointReports reports = new EndpointReports(loop, access.client(), wire, metrics, limits.answers());
        this.pools = stagePools(loop, wire, reports, gathering);
        mesh.pieces().attach(pools);
        this.silence = silenceWatch(loop, reports);
        silence.start();
        this.engines = engineSelector(loop, gathering);
        mesh.attach(engines);
        this.streamOrigins = access.streamOrigins(clock, () -> listFollower().readAnew(), metrics);
        this.handler = new RelayHandler(requestParts(loop, wire), this::known);
        this.store = new StoreFollowers(
                settings,
                control,
                client,
                clock,
                state,
                configFreshness,
                evacuations,
                endpoints,
                mesh,
                () -> loop.execute(this::endpointsChanged),
                crashes.quarantine()::mergeStored,
                crashes.quarantine()::reports,
                boxes -> budgets.update(budgetPart(this.settings, boxes)));
        this.gate = new SheddingGate(loop, metrics.connections());
        this.callers = new HttpServer(listener, this::limits, handler, this::rejected, gate);
    }

    private StagePools stagePools(
            EventLoop loop, EndpointProtocol wire, EndpointReports reports, CoordinatorSelector gathering) {
        return new StagePools(
                new PoolContext(
                        loop,
                        clock,
                        access.client(),
                        wire,
                        reports,
                        endpoints,
                        limits.sends(),
                        limits.answers(),
                        state::config,
                        budgets,
                        crashes.quarantine(),
                        PoolPolicies.UNIFORM),
                random,
                mesh,
                gathering);
    }

    private EngineSelector engineSelector(EventLoop loop, CoordinatorSelector gathering) {
        return new EngineSelector(
                loop,
                clock,
                mesh.engines(),
                gathering,
                endpoints,
                service -> state.config().service(service).flatMap(ServiceSpec::engine),
                limits.sends(),
                engine -> silence.checkSuspect(engine, () -> {}),
                limits.answers()::limited,
                metrics);
    }

    private SilenceWatch silenceWatch(EventLoop loop, EndpointReports reports) {
        return new SilenceWatch(
                loop, clock, endpoints, reports, this::answersReports, access::check, pools::abandon, () -> mesh.peers()
                        .doubtfulDomains());
    }

    private RelayContext requestParts(EventLoop loop, EndpointProtocol wire) {
        return new RelayContext(
                loop,
                clock,
                random,
                access.client(),
                new PlatformCallerWire(),
                wire,
                state::config,
                state::configAgeMs,
                endpoints,
                pools,
                engines,
                streamOrigins,
                Regions.parse(settings.getRegions()),
                (long) settings.getLeavingWithinMs() / 2,
                limits.sends(),
                limits.answers(),
                silence::checkSuspect,
                new LeastLoaded(settings.getFailureDomain(), random),
                budgets,
                crashes.quarantine(),
                new RetryAfter(random::nextDouble),
                metrics,
                new RequestLog(clock, metrics, configFreshness::ageMs));
    }

    /** Engines and endpoints that do the work of stages tell their state; plain services have nothing to ask. */
    private boolean answersReports(String service) {
        return state.config()
                .service(service)
                .map(spec -> spec.engine().isPresent() || spec.pool().isPresent())
                .orElse(false);
    }

    /** Peers tell what is held when a link opens. */
    private boolean quarantineKnown() {
        return store.crashReportsRead() || !mesh.peers().serving().isEmpty();
    }

    private void evacuate(Set<String> failureDomains) {
        endpoints.evacuate(failureDomains);
        requests.next().execute(this::endpointsChanged);
    }

    private void endpointsChanged() {
        limits.endpointsChanged(endpoints);
        pools.dispatchAll();
        engines.endpointsChanged();
    }

    private void moveWork(RelayEndpoint endpoint) {
        pools.abandon(endpoint);
    }

    private EndpointAccess access() {
        return access;
    }

    private StoreFollowers store() {
        return store;
    }

    private ListFollower listFollower() {
        return store.list();
    }

    private boolean known() {
        return state.config().known() && endpoints.listLoaded();
    }

    /**
     * Starts the gateway.
     *
     * @throws BindException if an address can't be had
     */
    public void start() throws BindException {
        mesh.start();
        pools.start();
        access.start(metrics);
        store.start();
        long patientUntilMs = clock.nowMs() + START_PATIENCE_MS;
        control.execute(() -> acceptWhenKnown(patientUntilMs));
        InsideServers.start(
                settings,
                control,
                requests,
                () -> known() && !stopping,
                new OperatorHandler(metrics::scrape, crashes.quarantine(), limits.stated()));
        RelayGauges gauges = new RelayGauges(metrics);
        gauges.ofKnowledge(state, configFreshness, evacuations, endpoints);
        gauges.ofReach(access);
        gauges.ofStore(store);
        gauges.ofWork(handler, pools, callers, gate);
        gauges.ofStreams(streamOrigins);
        gauges.ofFleet(mesh, crashes, limits.stated());
        startTimeline
                .await("config", () -> state.config().known())
                .await("list", endpoints::listLoaded)
                .await("peer", () -> !mesh.peers().serving().isEmpty())
                .await("success", () -> metrics.successes() > 0)
                .start(requests.next());
        LogEvent.info("started")
                .with("box", settings.getBoxId())
                .with("failureDomain", settings.getFailureDomain())
                .with("transport", EventLoops.transport())
                .to(LOG);
    }

    /** Callers who connected during the start are served once there is something to serve by, or else refused. */
    private void acceptWhenKnown(long patientUntilMs) {
        if (known() && quarantineKnown() || clock.nowMs() >= patientUntilMs) {
            callers.accept();
        } else {
            control.schedule(() -> acceptWhenKnown(patientUntilMs), KNOWN_CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private HttpLimits limits() {
        ClientLimits limits = state.config().limits();
        return new HttpLimits(
                limits.maxBodyBytes(), MOST_CONNECTIONS, limits.headerTimeoutMs(), limits.idleTimeoutMs());
    }

    private byte[] rejected(Rejection rejection) {
        return rejection.name().getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Takes new settings into force: retry budgets and the grace of a planned stop; addresses and names stay until the next
     * start.
     *
     * @param next settings, checked
     */
    public void reload(RelaySettings next) {
        settings = next;
        budgets.update(budgetPart(next, mesh.knownBoxes()));
        LogEvent.info("settings-reloaded")
                .with("retryBudgetRatio", next.getRetryBudgetRatio())
                .with("retryBudgetExtra", next.getRetryBudgetExtra())
                .with("stopGraceSeconds", next.getStopGraceSeconds())
                .to(LOG);
    }

    private static ServiceRetryBudgets.FleetBudget budgetPart(RelaySettings settings, int boxes) {
        return new ServiceRetryBudgets.FleetBudget(
                settings.getRetryBudgetRatio(), settings.getRetryBudgetExtra(), Math.max(LEAST_BOXES, boxes));
    }

    /**
     * Stops as planned: the balancer takes the box out, what is in flight ends, then the process does. A request may be on
     * its way into the process while none is counted yet, so the end waits for the last connection.
     */
    public void stop() {
        stopping = true;
        new PlannedStop(clock, mesh, callers, handler).run(settings);
        LogManager.shutdown();
    }

    /**
     * Ends all threads and connections at once, as the end of the process does. A program that goes on after {@link #stop}
     * has to call it.
     */
    @Override
    public void close() {
        List.of(control.parent(), requests)
                .forEach(group -> group.shutdownGracefully(0, CLOSE_MS, TimeUnit.MILLISECONDS)
                        .awaitUninterruptibly(CLOSE_MS));
    }
}
