package org.wingstall.standin.fleet;

import java.nio.charset.StandardCharsets;
import org.wingstall.net.BindException;
import org.wingstall.net.http.HttpCall;
import org.wingstall.net.http.HttpHandler;
import org.wingstall.net.http.HttpServer;

/**
 * Stands in for an endpoint behind a listener of its own, which a request can end: from then on the listener accepts
 * connections and closes them when a request arrives. Its entry stays listed.
 *
 * <p>{@code EndedEndpoint endpoint = EndedEndpoint.start(fleet, "plain", "east", "p1");}
 *
 * @since 0.7
 */
public final class EndedEndpoint implements HttpHandler {
    private final WorkerStandin worker;
    private volatile boolean ended;

    private EndedEndpoint(WorkerStandin worker) {
        this.worker = worker;
    }

    /** Starts an endpoint and lists it. */
    public static EndedEndpoint start(FleetStandin fleet, String service, String failureDomain, String incarnation)
            throws BindException {
        EndedEndpoint endpoint = new EndedEndpoint(new WorkerStandin(incarnation, 0, 5));
        HttpServer server = fleet.serve(endpoint, 0);
        fleet.list(service, failureDomain, incarnation, FleetStandin.addressOf(server), "ready");
        return endpoint;
    }

    /** Returns whether a request has ended it. */
    public boolean ended() {
        return ended;
    }

    @Override
    public void handle(HttpCall call) {
        if (ended || new String(call.body(), StandardCharsets.UTF_8).contains(CrashingEndpoint.CRASH)) {
            ended = true;
            call.abort();
        } else {
            worker.handle(call);
        }
    }
}
