package org.wingstall.gateway.relay;

import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.limit.AdvertisedLimits;
import org.wingstall.core.quarantine.Fingerprint;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.net.http.HttpCall;
import org.wingstall.net.http.HttpHandler;
import org.wingstall.net.log.LogEvent;

/**
 * Answers operators: metrics, the limits that endpoints state, the requests that may crash endpoints, and letting one through again.
 *
 * <p>{@code curl box:7740/quarantine; curl -X POST 'box:7740/quarantine/lift?fingerprint=6a0f...'}
 */
final class OperatorHandler implements HttpHandler {
    private static final Logger LOG = LogManager.getLogger(OperatorHandler.class);

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int WRONG_METHOD = 405;
    private static final String TEXT = "text/plain";

    private final Supplier<String> metrics;
    private final Quarantine quarantine;
    private final AdvertisedLimits limits;

    OperatorHandler(Supplier<String> metrics, Quarantine quarantine, AdvertisedLimits limits) {
        this.limits = limits;
        this.metrics = metrics;
        this.quarantine = quarantine;
    }

    @Override
    public void handle(HttpCall call) {
        switch (call.path()) {
            case "/limits" -> call.respondJson(OK, limits.activeLimits());
            case "/quarantine" -> call.respondJson(OK, quarantine.reports());
            case "/quarantine/lift" -> lift(call);
            default ->
                call.respond(OK, "text/plain; version=0.0.4", metrics.get().getBytes(StandardCharsets.UTF_8));
        }
    }

    private void lift(HttpCall call) {
        if (!call.method().equals("POST")) {
            respond(call, WRONG_METHOD, "method '" + call.method() + "' is not valid; valid: POST");
            return;
        }
        String fingerprint = call.query("fingerprint", "");
        boolean lifted = quarantine.lift(new Fingerprint(fingerprint));
        if (lifted) {
            LogEvent.info("quarantine-lifted").with("fingerprint", fingerprint).to(LOG);
            respond(call, OK, "lifted");
        } else {
            respond(call, NOT_FOUND, "fingerprint '" + fingerprint + "' is not suspected; valid: one of /quarantine");
        }
    }

    private static void respond(HttpCall call, int status, String text) {
        call.respond(status, TEXT, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
