package org.wingstall.gateway.api;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.wingstall.core.config.ConfigStore;
import org.wingstall.core.member.EndpointRegistry;
import org.wingstall.core.route.EndpointState;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.gateway.GatewayState;
import org.wingstall.gateway.Metrics;
import org.wingstall.gateway.engine.EngineOrderGiver;
import org.wingstall.gateway.run.RecentRequests;
import org.wingstall.net.http.HttpCall;
import org.wingstall.peer.PeerMesh;
import org.wingstall.peer.PeerState;
import org.wingstall.schema.caller.Answer;
import org.wingstall.schema.operator.EndpointStatus;
import org.wingstall.schema.operator.FleetStatus;
import org.wingstall.schema.operator.PeerStatus;
import org.wingstall.schema.settings.GatewaySettings;
import org.wingstall.table.HttpPlatform;

/**
 * The API for operators: metrics, health, what the gateway knows of the fleet, requests that ended lately.
 *
 * <p>{@code GET /v1/fleet}
 *
 * @since 0.1
 */
public final class OperatorApi {
    private static final String REQUESTS = "/v1/requests/";
    private static final int NOT_FOUND = 404;

    private final GatewaySettings settings;
    private final GatewayState state;
    private final ConfigStore config;
    private final EndpointRegistry registry;
    private final PeerMesh mesh;
    private final HttpPlatform platform;
    private final RecentRequests recent;
    private final Metrics metrics;
    private final MonotonicClock clock;
    private final EngineOrderGiver orders;

    /** Creates the API from the parts of a gateway. */
    public OperatorApi(
            GatewaySettings settings,
            GatewayState state,
            ConfigStore config,
            EndpointRegistry registry,
            PeerMesh mesh,
            HttpPlatform platform,
            RecentRequests recent,
            Metrics metrics,
            MonotonicClock clock,
            EngineOrderGiver orders) {
        this.settings = settings;
        this.state = state;
        this.config = config;
        this.registry = registry;
        this.mesh = mesh;
        this.platform = platform;
        this.recent = recent;
        this.metrics = metrics;
        this.clock = clock;
        this.orders = orders;
    }

    /** Takes a call. */
    public void handle(HttpCall call) {
        if (state.answerHealth(call)) {
            return;
        }
        if (call.path().equals("/metrics")) {
            byte[] text = metrics.scrape().getBytes(StandardCharsets.UTF_8);
            call.respond(200, "text/plain; version=0.0.4; charset=utf-8", text);
        } else if (call.path().equals("/v1/fleet")) {
            call.respondJson(200, status());
        } else if (call.path().equals("/v1/engines")) {
            call.respondJson(200, orders.status());
        } else if (call.path().startsWith(REQUESTS)) {
            request(call, call.path().substring(REQUESTS.length()));
        } else {
            notFound(
                    call,
                    call.path() + " is not known; valid: /healthz, /readyz, /metrics, /v1/fleet, /v1/engines, "
                            + REQUESTS);
        }
    }

    private void request(HttpCall call, String requestId) {
        Optional<Answer> answer = recent.find(requestId);
        if (answer.isPresent()) {
            call.respondJson(200, answer.get());
        } else {
            notFound(call, "request '" + requestId + "' did not end here lately");
        }
    }

    private static void notFound(HttpCall call, String detail) {
        call.respond(NOT_FOUND, "text/plain", (detail + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private FleetStatus status() {
        return new FleetStatus(
                settings.getBoxId(),
                settings.getFailureDomain(),
                state.notReadyReason().isEmpty(),
                state.notReadyReason().orElse(null),
                config.current().revision(),
                platform.heardAgeMs(),
                peers(),
                mesh.domains(),
                registry.all().stream().map(OperatorApi::endpoint).toList());
    }

    private List<PeerStatus> peers() {
        return mesh.peers().all().stream().map(this::peer).toList();
    }

    private PeerStatus peer(PeerState peer) {
        return new PeerStatus(
                peer.hello().getBoxId(),
                peer.hello().getFailureDomain(),
                mesh.peers().heard(peer),
                clock.nowMs() - peer.heardAtMs(),
                peer.revision());
    }

    private static EndpointStatus endpoint(EndpointState endpoint) {
        EndpointStatus.State shown = EndpointStatus.State.SERVING;
        if (endpoint.leaving()) {
            shown = EndpointStatus.State.LEAVING;
        } else if (endpoint.ejected()) {
            shown = EndpointStatus.State.EJECTED;
        }
        return new EndpointStatus(
                endpoint.identity().memberId(),
                endpoint.identity().service(),
                endpoint.identity().failureDomain(),
                shown,
                endpoint.inFlight());
    }
}
