package org.wingstall.gateway.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.config.ConfigStore;
import org.wingstall.core.member.EndpointRegistry;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.gateway.run.RunParts;
import org.wingstall.net.PeriodicTask;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.http.HttpReply;
import org.wingstall.net.http.OutgoingRequest;
import org.wingstall.net.log.LogEvent;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.endpoint.StageCall;
import org.wingstall.schema.settings.Policy;
import org.wingstall.schema.table.PipelineRow;
import org.wingstall.schema.table.StageRow;

/**
 * Lets ejected endpoints run one small call each, and gives them work again when they answer it. An endpoint whose
 * connection ended under a call is probed at once, since one broken connection does not show that it has ended.
 *
 * <p>A health page is asked only where a call may not be repeated: an endpoint can answer its page and run nothing (Ramjet
 * on DeepSeek-V4.1-Flash, "A replica that answered health checks but no requests").
 *
 * <p>{@code prober.start();}
 *
 * @since 0.1
 */
public final class Prober implements RunParts.EndpointChecks {
    private static final Logger LOG = LogManager.getLogger(Prober.class);
    private static final JsonNode PROBE_INPUT = Json.MAPPER.createObjectNode().put("text", "probe");

    private final EndpointRegistry registry;
    private final ConfigStore config;
    private final HttpClient client;
    private final EventLoop loop;
    private final Policy policy;
    private final MonotonicClock clock;
    private final Quarantine quarantine;
    private final Runnable changed;
    private final String idPrefix;
    private final AtomicLong lastProbe = new AtomicLong();

    /**
     * Creates a prober.
     *
     * @param registry endpoints
     * @param config tells of what kind a service is
     * @param client HTTP client
     * @param loop the control loop
     * @param policy settings of the policy
     * @param clock monotonic clock
     * @param quarantine receives the endpoints that respond
     * @param idPrefix first part of the probes' request identifiers
     * @param changed called after each probe
     */
    public Prober(
            EndpointRegistry registry,
            ConfigStore config,
            HttpClient client,
            EventLoop loop,
            Policy policy,
            MonotonicClock clock,
            Quarantine quarantine,
            String idPrefix,
            Runnable changed) {
        this.registry = registry;
        this.config = config;
        this.client = client;
        this.loop = loop;
        this.policy = policy;
        this.clock = clock;
        this.quarantine = quarantine;
        this.idPrefix = idPrefix;
        this.changed = changed;
    }

    /** Begins to probe. */
    public void start() {
        PeriodicTask.start(loop, "probe", policy::getProbeIntervalMs, this::probeEjected);
    }

    private void probeEjected() {
        Map<String, StageRow> stages = stagesByService();
        for (EndpointState endpoint : registry.all()) {
            if ((endpoint.ejected() || endpoint.inDoubt()) && !endpoint.leaving()) {
                probe(endpoint, stages.get(endpoint.identity().service()));
            }
        }
    }

    @Override
    public void connectionLost(EndpointState endpoint) {
        if (endpoint.recordConnectionLost()) {
            loop.execute(() -> probe(endpoint));
        }
    }

    @Override
    public CompletableFuture<Boolean> isAlive(EndpointState endpoint) {
        return CompletableFuture.supplyAsync(() -> probe(endpoint), loop)
                .thenCompose(response -> response)
                .whenComplete((alive, failure) -> {
                    if (!Boolean.TRUE.equals(alive)) {
                        connectionLost(endpoint);
                    }
                });
    }

    private CompletableFuture<Boolean> probe(EndpointState endpoint) {
        return probe(endpoint, stagesByService().get(endpoint.identity().service()));
    }

    /**
     * Records that another gateway has lost an endpoint. It is probed with the next round rather than at once, since all
     * gateways get the report at the same time.
     *
     * @param endpointKey the incarnation, as the quarantine names it
     */
    public void lossReported(String endpointKey) {
        registry.all().stream()
                .filter(endpoint -> endpoint.identity().key().equals(endpointKey))
                .forEach(EndpointState::recordConnectionLost);
    }

    private Map<String, StageRow> stagesByService() {
        Map<String, StageRow> stages = new HashMap<>();
        for (PipelineRow pipeline : config.current().pipelines().values()) {
            for (StageRow stage : pipeline.getStages()) {
                StageRow other = stages.get(stage.getService());
                if (other == null || other.isRepeatable()) {
                    stages.put(stage.getService(), stage);
                }
            }
        }
        return stages;
    }

    /** Probes an endpoint; returns whether it responded. */
    private CompletableFuture<Boolean> probe(EndpointState endpoint, StageRow stage) {
        boolean runs = stage != null && stage.isRepeatable() && stage.getKind() != StageRow.Kind.PLAIN;
        OutgoingRequest request = runs
                ? OutgoingRequest.post(endpoint.address(), "/v1/stage", Json.write(probeCall(stage)))
                : OutgoingRequest.get(endpoint.address(), "/healthz");
        long sentAtMs = clock.nowMs();
        return client.call(loop, request.fresh(), policy.getProbeTimeoutMs()).handle((reply, failure) -> {
            record(endpoint, sentAtMs, reply);
            return reply != null;
        });
    }

    private void record(EndpointState endpoint, long sentAtMs, HttpReply reply) {
        boolean ejectedBefore = endpoint.ejected();
        if (reply == null) {
            endpoint.recordProbeFailure();
        } else {
            quarantine.endpointAnswered(endpoint.identity().key(), sentAtMs);
            if (reply.ok()) {
                endpoint.recordProbeSuccess();
            } else {
                endpoint.recordProbeRejected();
            }
        }
        if (endpoint.ejected() != ejectedBefore) {
            LogEvent.info(ejectedBefore ? "endpoint-recovered" : "endpoint-ended")
                    .with("endpoint", endpoint.identity().memberId())
                    .to(LOG);
        }
        changed.run();
    }

    private StageCall probeCall(StageRow stage) {
        String requestId = idPrefix + ".probe" + lastProbe.incrementAndGet();
        return new StageCall(
                requestId,
                stage.getName(),
                1,
                "wingstall-probe",
                null,
                0,
                policy.getProbeTimeoutMs(),
                1,
                0,
                PROBE_INPUT);
    }
}
