package org.wingstall.gateway.engine;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.config.ConfigStore;
import org.wingstall.core.engine.EngineOrderPlanner;
import org.wingstall.core.engine.EngineView;
import org.wingstall.core.lease.LeaseCandidate;
import org.wingstall.core.member.EndpointRegistry;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.time.Jitter;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.gateway.Metrics;
import org.wingstall.net.PeriodicTask;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.http.HttpReply;
import org.wingstall.net.http.OutgoingRequest;
import org.wingstall.net.log.LogEvent;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.endpoint.EngineOrder;
import org.wingstall.schema.endpoint.EngineState;
import org.wingstall.schema.endpoint.EngineTarget;
import org.wingstall.schema.operator.EngineStatus;
import org.wingstall.schema.operator.OrderStatus;
import org.wingstall.schema.settings.EngineOrders;
import org.wingstall.schema.table.EngineRow;
import org.wingstall.table.TableService;

/**
 * Brings the model engines of a failure domain to what the operators' table wants of them.
 *
 * <p>One gateway of the domain gives the orders, under a lease in the platform's table. Every order carries the lease's
 * token, and states what the engine is to have loaded, so that giving it again does no harm. Just before an order is
 * written the time left of the lease is looked at; a new holder forgets what was known and asks every engine anew.
 *
 * <p>{@code giver.start(); OrderStatus status = giver.status();}
 *
 * @since 0.1
 */
public final class EngineOrderGiver {
    private static final Logger LOG = LogManager.getLogger(EngineOrderGiver.class);
    private static final int REFUSED_OLDER_TOKEN = 409;
    private static final int ASKS_AT_ONCE = 2;
    private static final long CALM_MS = 5000;
    private static final int RENEWALS_IN_LEASE = 3;

    private final Parts parts;
    private final LeaseKeeper lease;
    private final EngineOrderPlanner plan = new EngineOrderPlanner(ASKS_AT_ONCE, CALM_MS);
    private final Map<String, EngineView> views = new HashMap<>();
    private long viewsToken;
    private volatile OrderStatus status = new OrderStatus(false, 0, 0, List.of());

    /**
     * What the giver works with.
     *
     * @param self box and incarnation
     * @param failureDomain failure domain of this gateway
     * @param settings times
     * @param config what the operators want
     * @param registry endpoints
     * @param table the platform's table
     * @param client HTTP client
     * @param loop the control loop
     * @param clock monotonic clock
     * @param metrics counters
     * @param stopping whether a planned stop has begun
     * @param contends whether this gateway is among the few that try to take the lease
     */
    public record Parts(
            String self,
            String failureDomain,
            EngineOrders settings,
            ConfigStore config,
            EndpointRegistry registry,
            TableService table,
            HttpClient client,
            EventLoop loop,
            MonotonicClock clock,
            Metrics metrics,
            BooleanSupplier stopping,
            BooleanSupplier contends) {}

    /**
     * Creates a giver that holds no lease.
     *
     * @param parts what it works with
     */
    public EngineOrderGiver(Parts parts) {
        this.parts = parts;
        EngineOrders settings = parts.settings();
        LeaseCandidate candidate =
                new LeaseCandidate(parts.self(), settings.getLeaseMs(), settings.getGuardMs(), parts.clock());
        String key = "lease/engines/" + parts.failureDomain();
        this.lease = new LeaseKeeper(parts.table(), parts.loop(), parts.clock(), key, candidate);
    }

    /** Begins to look after the engines. */
    public void start() {
        PeriodicTask.start(parts.loop(), "engine-orders", this::delayMs, this::tick);
    }

    private long delayMs() {
        double random = ThreadLocalRandom.current().nextDouble();
        return Jitter.around(parts.settings().getIntervalMs(), random);
    }

    /** Returns what this gateway knows of its failure domain's engines. */
    public OrderStatus status() {
        return status;
    }

    /** Gives the lease back, in a planned stop. */
    public void release() {
        parts.loop().execute(lease::release);
    }

    private void tick() {
        Map<String, EngineRow> rows = parts.config().current().engines();
        if (!rows.isEmpty() && !parts.stopping().getAsBoolean()) {
            if (lease.tokenFor(0) > 0 || parts.contends().getAsBoolean()) {
                lease.tick(parts.settings().getLeaseMs() / RENEWALS_IN_LEASE);
            }
            long token = lease.tokenFor(parts.settings().getCallTimeoutMs());
            if (token > 0) {
                lookAfter(rows, token);
            }
        }
        publish(rows);
    }

    private void lookAfter(Map<String, EngineRow> rows, long token) {
        if (token != viewsToken) {
            views.clear();
            viewsToken = token;
        }
        for (EngineRow row : rows.values()) {
            Map<String, EndpointState> engines = enginesOf(row.getName());
            List<EngineView> known = new ArrayList<>();
            engines.values().forEach(engine -> known.add(view(engine)));
            plan.enginesToQuery(row, known, parts.clock().nowMs())
                    .forEach(view -> ask(engines.get(view.memberId()), token));
            plan.enginesToOrder(row, known, view -> engines.get(view.memberId()).inFlight())
                    .forEach(view -> order(engines.get(view.memberId()), EngineOrderPlanner.target(row), token));
        }
    }

    private Map<String, EndpointState> enginesOf(String service) {
        Map<String, EndpointState> engines = new HashMap<>();
        for (EndpointState endpoint : parts.registry().endpointsOf(service)) {
            boolean local = endpoint.identity().failureDomain().equals(parts.failureDomain());
            if (local && !endpoint.leaving()) {
                engines.put(endpoint.identity().memberId(), endpoint);
            }
        }
        return engines;
    }

    private EngineView view(EndpointState engine) {
        String memberId = engine.identity().memberId();
        EngineView known = views.get(memberId);
        if (known == null || known.incarnation() != engine.identity().incarnation()) {
            known = EngineView.unknown(memberId, engine.identity().incarnation());
            views.put(memberId, known);
        }
        return known;
    }

    private void ask(EndpointState engine, long token) {
        OutgoingRequest request = OutgoingRequest.get(engine.address(), "/v1/engine");
        long sentAtMs = parts.clock().nowMs();
        parts.client()
                .call(parts.loop(), request, parts.settings().getCallTimeoutMs())
                .whenCompleteAsync(
                        (reply, failure) -> {
                            if (failure == null && reply.ok()) {
                                heard(engine, token, sentAtMs, reply);
                            }
                        },
                        parts.loop());
    }

    /** The last look at the lease is right before the write: a pause after it is what engines check the token for. */
    private void order(EndpointState engine, EngineTarget target, long token) {
        OutgoingRequest request =
                OutgoingRequest.post(engine.address(), "/v1/engine/order", Json.write(new EngineOrder(token, target)));
        if (lease.tokenFor(parts.settings().getCallTimeoutMs()) != token) {
            parts.metrics().engineOrder(Metrics.OrderResult.WITHHELD);
            return;
        }
        long sentAtMs = parts.clock().nowMs();
        views.computeIfPresent(engine.identity().memberId(), (id, view) -> view.withOrderSent(sentAtMs));
        parts.client()
                .call(parts.loop(), request, parts.settings().getCallTimeoutMs())
                .whenCompleteAsync((reply, failure) -> ordered(engine, token, sentAtMs, reply, failure), parts.loop());
        LogEvent.info("engine-ordered")
                .with("engine", engine.identity().memberId())
                .with("token", token)
                .with("model", target.getModel())
                .with("version", target.getVersion())
                .to(LOG);
    }

    private void ordered(EndpointState engine, long token, long sentAtMs, HttpReply reply, Throwable failure) {
        if (failure != null) {
            parts.metrics().engineOrder(Metrics.OrderResult.UNANSWERED);
        } else if (reply.ok()) {
            parts.metrics().engineOrder(Metrics.OrderResult.ACCEPTED);
            heard(engine, token, sentAtMs, reply);
        } else if (reply.status() == REFUSED_OLDER_TOKEN) {
            parts.metrics().engineOrder(Metrics.OrderResult.REFUSED);
            lease.superseded();
        } else {
            parts.metrics().engineOrder(Metrics.OrderResult.FAILED);
        }
    }

    private void heard(EndpointState engine, long token, long sentAtMs, HttpReply reply) {
        if (token != viewsToken) {
            return;
        }
        try {
            EngineState state = Json.read(reply.body(), EngineState.class);
            views.computeIfPresent(
                    engine.identity().memberId(),
                    (id, view) -> view.withState(state, sentAtMs, parts.clock().nowMs()));
        } catch (InvalidDocumentException e) {
            LogEvent.warn("engine-state-unreadable")
                    .with("engine", engine.identity().memberId())
                    .cause(e)
                    .to(LOG);
        }
    }

    private void publish(Map<String, EngineRow> rows) {
        long token = lease.tokenFor(0);
        List<EngineStatus> engines = new ArrayList<>();
        if (token > 0) {
            for (EngineRow row : rows.values()) {
                enginesOf(row.getName())
                        .values()
                        .forEach(engine -> engines.add(
                                statusOf(row, views.get(engine.identity().memberId()), engine)));
            }
        }
        status = new OrderStatus(token > 0, token, lease.leftMs(), engines);
    }

    private static EngineStatus statusOf(EngineRow row, EngineView view, EndpointState engine) {
        EngineState state = view == null ? null : view.state();
        EngineTarget loaded = state == null ? null : state.getLoaded();
        EngineStatus.State shown = EngineStatus.State.PENDING;
        if (state == null) {
            shown = EngineStatus.State.UNKNOWN;
        } else if (view.mayBeLoading()) {
            shown = EngineStatus.State.LOADING;
        } else if (view.hasReached(EngineOrderPlanner.target(row))) {
            shown = EngineStatus.State.REACHED;
        }
        return new EngineStatus(
                engine.identity().memberId(),
                row.getName(),
                shown,
                loaded == null ? null : loaded.getModel(),
                loaded == null ? 0 : loaded.getVersion(),
                state == null ? 0 : state.getToken());
    }
}
