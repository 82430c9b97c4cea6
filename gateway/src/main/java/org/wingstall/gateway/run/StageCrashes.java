package org.wingstall.gateway.run;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.function.Consumer;
import org.wingstall.core.quarantine.Fingerprint;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.core.quarantine.QuarantineRefusal;
import org.wingstall.core.quarantine.RequestQuarantine;
import org.wingstall.core.route.EndpointState;
import org.wingstall.schema.check.Json;

/**
 * What the quarantine says of one stage's input, and is told of its calls. The input is what an endpoint runs, whichever request it
 * comes with.
 */
final class StageCrashes {
    private final RequestQuarantine input;

    StageCrashes(Quarantine quarantine, String workspace, String service, JsonNode input) {
        this.input =
                new RequestQuarantine(quarantine, () -> Fingerprint.of(workspace, "STAGE", service, Json.write(input)));
    }

    Optional<QuarantineRefusal> hold() {
        return input.refusal();
    }

    /**
     * Calls back with whether the endpoint may be called. A suspect may call only an endpoint that responds now, so that
     * a lost call can be attributed to it.
     */
    void check(EndpointState endpoint, RunParts.EndpointChecks checks, EventLoop loop, Consumer<Boolean> next) {
        if (input.needsTrial()) {
            checks.isAlive(endpoint).thenAcceptAsync(next, loop);
        } else {
            next.accept(true);
        }
    }

    void sent(EndpointState endpoint) {
        input.sent(endpoint.identity().key());
    }

    void lost(EndpointState endpoint, long sentAtMs) {
        input.endpointLost(endpoint.identity().key(), sentAtMs);
    }

    void endpointAnswered(EndpointState endpoint, long sentAtMs) {
        input.endpointAnswered(endpoint.identity().key(), sentAtMs);
    }

    void answered(EndpointState endpoint, long sentAtMs) {
        input.answered(endpoint.identity().key(), sentAtMs, true);
    }

    boolean onTrial() {
        return input.onTrial();
    }

    void over() {
        input.endTrial();
    }
}
