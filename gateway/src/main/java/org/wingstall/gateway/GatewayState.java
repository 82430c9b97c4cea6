package org.wingstall.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.answer.RefusedException;
import org.wingstall.core.answer.RetryAfter;
import org.wingstall.core.config.ConfigStore;
import org.wingstall.core.member.EndpointRegistry;
import org.wingstall.net.http.HttpCall;

/**
 * Whether a gateway takes callers, and why not.
 *
 * <p>{@code state.checkTakesCallers();}
 *
 * @since 0.1
 */
public final class GatewayState {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final long NOT_READY_RETRY_MS = 1000;

    private final ConfigStore config;
    private final EndpointRegistry registry;
    private final RetryAfter retryAfter;
    private volatile boolean stopping;
    private volatile boolean refusing;

    GatewayState(ConfigStore config, EndpointRegistry registry, RetryAfter retryAfter) {
        this.config = config;
        this.registry = registry;
        this.retryAfter = retryAfter;
    }

    /** Begins a planned stop: the balancer is told, callers are still served. */
    void stopping() {
        stopping = true;
    }

    /** Refuses what still comes, late in a planned stop. */
    void refusing() {
        refusing = true;
    }

    /** Returns whether a planned stop has begun. */
    public boolean isStopping() {
        return stopping;
    }

    /** Returns why the gateway is not ready, if it is not. */
    public Optional<String> notReadyReason() {
        if (stopping) {
            return Optional.of("stopping: a planned stop has begun");
        }
        return missing();
    }

    private Optional<String> missing() {
        if (config.current().revision() == 0) {
            return Optional.of("no-configuration: neither the platform nor a peer has given one");
        }
        if (!registry.hasMemberList()) {
            return Optional.of("no-membership-list: neither the platform nor a peer has given one");
        }
        return Optional.empty();
    }

    /**
     * Refuses a request when the gateway can't take it.
     *
     * @throws RefusedException if the gateway is not ready or late in a planned stop
     */
    public void checkTakesCallers() throws RefusedException {
        if (refusing) {
            throw new RefusedException(
                    Reason.STOPPING, "a planned stop has begun", retryAfter.jitteredMs(NOT_READY_RETRY_MS));
        }
        Optional<String> missing = missing();
        if (missing.isPresent()) {
            throw new RefusedException(Reason.NOT_READY, missing.get(), retryAfter.jitteredMs(NOT_READY_RETRY_MS));
        }
    }

    /** Answers a call for health or readiness; returns whether it was one. */
    public boolean answerHealth(HttpCall call) {
        if (call.path().equals("/healthz")) {
            respond(call, OK, "ok");
            return true;
        }
        if (call.path().equals("/readyz")) {
            Optional<String> reason = notReadyReason();
            respond(call, reason.isPresent() ? UNAVAILABLE : OK, reason.orElse("ready"));
            return true;
        }
        return false;
    }

    private static void respond(HttpCall call, int status, String text) {
        call.respond(status, "text/plain", (text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
