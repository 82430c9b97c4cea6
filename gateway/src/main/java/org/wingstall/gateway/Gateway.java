package org.wingstall.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.admit.AdmissionPolicies;
import org.wingstall.core.answer.RetryAfter;
import org.wingstall.core.config.ConfigStore;
import org.wingstall.core.limit.WorkspaceLimiter;
import org.wingstall.core.member.Addresses;
import org.wingstall.core.member.EndpointRegistry;
import org.wingstall.core.peer.DomainMesh;
import org.wingstall.core.retry.HedgePolicy;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.gateway.api.CallerApi;
import org.wingstall.gateway.api.OperatorApi;
import org.wingstall.gateway.claim.ClaimKeeper;
import org.wingstall.gateway.claim.ClaimKeepers;
import org.wingstall.gateway.control.ConfigFollower;
import org.wingstall.gateway.control.ControlCpu;
import org.wingstall.gateway.control.ControlHost;
import org.wingstall.gateway.control.DomainListReaders;
import org.wingstall.gateway.control.MemberFollower;
import org.wingstall.gateway.control.Prober;
import org.wingstall.gateway.crash.CrashReports;
import org.wingstall.gateway.engine.EngineOrderGiver;
import org.wingstall.gateway.run.RecentRequests;
import org.wingstall.gateway.run.RetryBudgets;
import org.wingstall.gateway.run.RunParts;
import org.wingstall.gateway.run.ServiceGates;
import org.wingstall.gateway.run.StageTimesTable;
import org.wingstall.net.BindException;
import org.wingstall.net.EventLoops;
import org.wingstall.net.PeriodicTask;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.http.HttpLimits;
import org.wingstall.net.http.HttpServer;
import org.wingstall.net.log.LogEvent;
import org.wingstall.peer.PeerMesh;
import org.wingstall.peer.PeerOptions;
import org.wingstall.schema.peer.Hello;
import org.wingstall.schema.platform.Member;
import org.wingstall.schema.settings.CallerLimits;
import org.wingstall.schema.settings.GatewaySettings;
import org.wingstall.schema.settings.Peering;
import org.wingstall.schema.settings.PlatformClient;
import org.wingstall.table.ConfigTable;
import org.wingstall.table.HttpPlatform;

/**
 * One gateway: puts its parts together, starts and stops them.
 *
 * <p>{@code Gateway gateway = new Gateway(settings); gateway.start(); ... gateway.stop();}
 *
 * @since 0.1
 */
public final class Gateway {
    private static final Logger LOG = LogManager.getLogger(Gateway.class);
    private static final int OPERATOR_BODY_BYTES = 65_536;
    private static final int OPERATOR_CONNECTIONS = 256;
    private static final long DRAIN_CHECK_MS = 20;

    /** Room at endpoints of other failure domains shows by reports that grow old; nothing else wakes those who wait. */
    private static final long DRAIN_EVERY_MS = 50;

    private static final int ORDER_CANDIDATES = 2;

    private final MonotonicClock clock = System::nanoTime;
    private final GatewaySettings settings;
    private final long incarnation = System.currentTimeMillis();
    private final Metrics metrics = new Metrics();
    private final RetryAfter retryAfter =
            new RetryAfter(() -> ThreadLocalRandom.current().nextDouble());
    private final EventLoop control = EventLoops.group("control", 1).next();
    private final EventLoopGroup operators = EventLoops.group("operators", 1);
    private final EventLoopGroup requests;
    private final HttpClient client = new HttpClient();
    private final ConfigStore config;
    private final EndpointRegistry registry = new EndpointRegistry(clock);
    private final WorkspaceLimiter limiter = new WorkspaceLimiter(clock, retryAfter);
    private final GatewayState state;
    private final HttpPlatform platform;
    private final ControlHost host;
    private final PeerMesh mesh;
    private final CrashReports crashes;
    private final ServiceGates gates;
    private final MemberFollower members;
    private final ConfigFollower follower;
    private final ClaimKeeper claims;
    private final Prober prober;
    private final EngineOrderGiver orders;
    private final CallerApi callerApi;
    private final OperatorApi operatorApi;
    private HttpServer callerServer;

    /**
     * Puts a gateway together.
     *
     * @param settings settings of the process
     */
    public Gateway(GatewaySettings settings) {
        this.settings = settings;
        this.requests = EventLoops.group("requests", settings.getEventLoopThreads());
        this.config = new ConfigStore(failure -> {
            metrics.rowRejected();
            LogEvent.warn("config-row-rejected").cause(failure).to(LOG);
        });
        this.state = new GatewayState(config, registry, retryAfter);
        PlatformClient platformSettings = settings.getPlatformClient();
        this.platform = new HttpPlatform(
                client,
                control,
                Addresses.parse(settings.getPlatformAddress()),
                platformSettings.getCallTimeoutMs(),
                clock,
                this::suspicionChanged);
        this.host = new ControlHost(
                config, registry, limiter, clock, state::isStopping, platform::suspect, this::endpointsChanged);
        this.mesh = new PeerMesh(peerOptions(), host, control, clock);
        // Kept by the boxes alone: the links carry it to every box as long as one of the fleet lives.
        this.crashes = CrashReports.over(settings.getBoxId(), mesh.crashes(), control, clock, report -> {});
        this.gates = new ServiceGates(
                registry,
                config,
                settings.getPolicy(),
                settings.getFailureDomain(),
                () -> mesh.peers().heardInDomain(),
                mesh::knownBoxes,
                clock);
        this.members = new MemberFollower(
                platform,
                new DomainListReaders(mesh, System::currentTimeMillis),
                control,
                platformSettings.getMemberIntervalMs(),
                clock,
                metrics,
                this::membersChanged);
        this.follower = new ConfigFollower(
                new ConfigTable(platform),
                config,
                control,
                platformSettings.getPollIntervalMs(),
                () -> !settings.getPeerSeeds().isEmpty(),
                this::endpointsChanged);
        this.claims = createClaims(platformSettings);
        host.attach(mesh, members, claims);
        this.prober = createProber();
        crashes.setLossListener(prober::lossReported);
        this.orders = createOrders();
        RunParts parts = runParts();
        this.callerApi = new CallerApi(parts, config, limiter, state, idPrefix());
        this.operatorApi = new OperatorApi(
                settings, state, config, registry, mesh, platform, parts.recent(), metrics, clock, orders);
    }

    private ClaimKeeper createClaims(PlatformClient platformSettings) {
        ClaimKeeper.Parts parts =
                new ClaimKeeper.Parts(idPrefix(), platform, platform::suspect, platform, control, retryAfter, metrics);
        return ClaimKeepers.create(
                parts,
                clock,
                mesh,
                settings.getBoxId(),
                platformSettings.getBatchIntervalMs(),
                platformSettings.getCallTimeoutMs());
    }

    private Prober createProber() {
        return new Prober(
                registry,
                config,
                client,
                control,
                settings.getPolicy(),
                clock,
                crashes.quarantine(),
                idPrefix(),
                this::endpointsChanged);
    }

    private EngineOrderGiver createOrders() {
        return new EngineOrderGiver(new EngineOrderGiver.Parts(
                idPrefix(),
                settings.getFailureDomain(),
                settings.getEngineOrders(),
                config,
                registry,
                platform,
                client,
                control,
                clock,
                metrics,
                state::isStopping,
                () -> mesh.peers().amongFirst("engine-orders", ORDER_CANDIDATES)));
    }

    private RunParts runParts() {
        return new RunParts(
                settings,
                clock,
                client,
                gates,
                new StageTimesTable(),
                AdmissionPolicies.of(settings.getPolicy()),
                new RetryBudgets(settings.getPolicy().getRetryBudgetPercent()),
                HedgePolicy.of(settings.getPolicy()),
                new RetryBudgets(settings.getPolicy().getHedgeBudgetPercent()),
                crashes.quarantine(),
                claims,
                retryAfter,
                metrics,
                new RecentRequests(),
                host::endpointSaysLeaving,
                prober);
    }

    private PeerOptions peerOptions() {
        Peering peering = settings.getPeering();
        String advertised = settings.getAdvertisedPeerAddress();
        String told = advertised == null ? settings.getPeerAddress() : advertised;
        Hello hello = new Hello(settings.getBoxId(), settings.getFailureDomain(), told, incarnation, 0, true, false);
        return new PeerOptions(
                hello,
                Addresses.parse(settings.getPeerAddress()),
                settings.getPeerSeeds().stream().map(Addresses::parse).toList(),
                peering.getHeartbeatMs(),
                peering.getSilentAfterMs(),
                peering.getBudgetBytesPerSecond(),
                new DomainMesh());
    }

    private String idPrefix() {
        return settings.getBoxId() + "." + Long.toString(incarnation, Character.MAX_RADIX);
    }

    private void membersChanged(List<Member> list) {
        List<EndpointState> leaving = registry.applyList(list);
        mesh.applyList(list);
        host.listSaysLeaving(leaving);
        endpointsChanged();
    }

    /** Peers are told at once, since one of them may commit claims for this box or wait for it to commit theirs. */
    private void suspicionChanged() {
        mesh.beatNow();
    }

    private void endpointsChanged() {
        gates.drainAll();
    }

    /**
     * Starts the gateway.
     *
     * @throws BindException if an address can't be had
     */
    public void start() throws BindException {
        Warmup.run();
        CallerLimits limits = settings.getCallerLimits();
        HttpServer.start(
                operators,
                Addresses.parse(settings.getOperatorAddress()),
                new HttpLimits(
                        OPERATOR_BODY_BYTES,
                        OPERATOR_CONNECTIONS,
                        limits.getRequestReadMs(),
                        limits.getIdleConnectionMs()),
                operatorApi::handle,
                rejection -> new byte[0]);
        callerServer = HttpServer.start(
                requests,
                Addresses.parse(settings.getCallerAddress()),
                new HttpLimits(
                        limits.getMaxBodyBytes(),
                        limits.getMaxConnections(),
                        limits.getRequestReadMs(),
                        limits.getIdleConnectionMs()),
                callerApi::handle,
                callerApi::rejected);
        showGauges();
        mesh.start();
        members.start();
        follower.start();
        prober.start();
        PeriodicTask.start(requests.next(), "drain", () -> DRAIN_EVERY_MS, gates::drainAll);
        orders.start();
        LogEvent.info("started")
                .with("box", settings.getBoxId())
                .with("failureDomain", settings.getFailureDomain())
                .to(LOG);
    }

    private void showGauges() {
        ControlCpu cpu = new ControlCpu(control);
        metrics.gauge("wingstall.control.cpu.seconds", cpu::seconds);
        metrics.gauge("wingstall.config.revision", () -> config.current().revision());
        metrics.gauge("wingstall.platform.revision", follower::platformRevision);
        metrics.gauge("wingstall.requests.in.flight", callerApi::inFlight);
        metrics.gauge("wingstall.stages.waiting", gates::waiting);
        metrics.gauge("wingstall.caller.connections", callerServer::connections);
        metrics.gauge("wingstall.engine.lease.token", () -> orders.status().getToken());
        metrics.gauge("wingstall.claims.pending", claims::pending);
        metrics.gauge("wingstall.requests.held.back", () -> crashes.quarantine().quarantinedRequests());
        metrics.gauge("wingstall.losses.after.end", crashes::lossesAfterEnd);
        metrics.gauge("wingstall.peers.heard.in.domain", () -> mesh.peers().heardInDomain());
        metrics.gauge("wingstall.peer.sent.bytes", mesh::sentBytes);
        metrics.gauge("wingstall.peer.received.bytes", mesh::receivedBytes);
        metrics.gauge("wingstall.platform.body.bytes", platform::bodyBytes);
        metrics.gauge("wingstall.table.unheard", () -> platform.suspect() ? 1 : 0);
        metrics.gauge("wingstall.platform.heard.age.ms", platform::heardAgeMs);
    }

    /** Stops as planned: tells balancer and peers, serves what is in flight, then closes; bounded by the settings. */
    public void stop() {
        LogEvent.info("stopping").with("inFlight", callerApi.inFlight()).to(LOG);
        state.stopping();
        mesh.beatNow();
        orders.release();
        long untilMs = clock.nowMs() + settings.getShutdownGraceMs();
        waitUntil(clock.nowMs() + settings.getShutdownNoticeMs(), () -> false);
        callerServer.close();
        callerServer.drain();
        waitUntil(untilMs, () -> callerApi.inFlight() == 0 && claims.pending() == 0);
        state.refusing();
        LogEvent.info("stopped")
                .with("inFlight", callerApi.inFlight())
                .with("claimsPending", claims.pending())
                .to(LOG);
        mesh.close();
        LogManager.shutdown();
    }

    private void waitUntil(long untilMs, java.util.function.BooleanSupplier done) {
        while (clock.nowMs() < untilMs && !done.getAsBoolean()) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DRAIN_CHECK_MS));
        }
    }
}
