package org.wingstall.gateway.run;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Supplier;
import org.wingstall.core.quarantine.Fingerprint;
import org.wingstall.core.quarantine.Hold;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.core.route.EndpointState;
import org.wingstall.schema.check.Json;

/**
 * What the quarantine says of one stage's input, and is told of its calls. The input is what an endpoint runs, whichever request it
 * comes with.
 */
final class StageCrashes {
    private final Quarantine quarantine;
    private final Supplier<Fingerprint> input;
    private Optional<String> trial = Optional.empty();

    StageCrashes(Quarantine quarantine, String workspace, String service, JsonNode input) {
        this.quarantine = quarantine;
        this.input = () -> Fingerprint.of(workspace, "STAGE", service, Json.write(input));
    }

    /** Returns why the input is not to be sent now, or sent once more after its last call ended. */
    Optional<Hold> hold() {
        over();
        return quarantine.hold(input);
    }

    void sent(EndpointState endpoint) {
        trial = quarantine.sent(input, keyOf(endpoint));
    }

    void lost(EndpointState endpoint) {
        quarantine.lost(input.get(), keyOf(endpoint));
    }

    void answered(EndpointState endpoint, long sentAtMs) {
        quarantine.answered(input, keyOf(endpoint), sentAtMs, true);
    }

    void over() {
        trial.ifPresent(id -> quarantine.over(input.get(), id));
        trial = Optional.empty();
    }

    private static String keyOf(EndpointState endpoint) {
        return endpoint.identity().memberId() + "@" + endpoint.identity().incarnation();
    }
}
