package org.wingstall.standin.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import net.sourceforge.argparse4j.inf.Namespace;
import org.wingstall.core.route.PromptBlocks;
import org.wingstall.net.BindException;
import org.wingstall.net.EventLoops;
import org.wingstall.net.http.HttpCall;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.endpoint.EndpointLoad;
import org.wingstall.schema.endpoint.StageAnswer;
import org.wingstall.schema.endpoint.StageCall;
import org.wingstall.schema.endpoint.TokenEvent;
import org.wingstall.standin.StandinServer;

/**
 * An endpoint of any kind: takes stage calls, keeps a record of what it ran, shows faults that are set over HTTP.
 *
 * <p>{@code EndpointStandin.startAll(options);}
 *
 * @since 0.1
 */
public final class EndpointStandin {
    private static final int UNAVAILABLE = 503;
    private static final int WARM_UP_ROUNDS = 100;
    private static final int INTERNAL_ERROR = 500;

    private final Worker worker;
    private final RunLog log = new RunLog();
    private final EngineOrderBook orders;
    private final AtomicInteger callsSinceFaults = new AtomicInteger();
    private volatile EndpointFaults faults = EndpointFaults.NONE;

    private EndpointStandin(EndpointOptions options, EventLoopGroup group) {
        this.orders = new EngineOrderBook(group.next(), options.checksToken(), options.loadMs());
        this.worker = options.kind().equals("engine")
                ? new EngineWorker(options, log, group.next(), () -> faults)
                : new CallWorker(options, log, group.next(), () -> faults);
    }

    /** Starts an endpoint for each address of the options. */
    public static void startAll(Namespace namespace) throws BindException {
        warmUp();
        List<String> addresses = namespace.getList("listen");
        for (String address : addresses) {
            EventLoopGroup group = EventLoops.group("endpoint", 1);
            EndpointStandin endpoint = new EndpointStandin(EndpointOptions.of(namespace, address), group);
            StandinServer.start(group, address, endpoint::handle);
        }
    }

    /** Loads the classes of the work, so that the first call takes as long as the others. */
    private static void warmUp() {
        EndpointLoad load = new EndpointLoad(0, false);
        JsonNode input = Json.MAPPER.createObjectNode().put("text", "warm-up ".repeat(64));
        for (int i = 0; i < WARM_UP_ROUNDS; i++) {
            Json.write(new StageAnswer("r", "s", 1, Outputs.pool("p", input), load));
            Json.write(new TokenEvent("r", "s", 1, 0, Outputs.token(input, i), false, load));
            PromptBlocks.digests(Outputs.text(input));
            try {
                Json.read(Json.write(new StageCall("r", "s", 1, "w", "k", 1, 1, 1, 0, input)), StageCall.class);
            } catch (InvalidDocumentException e) {
                throw new AssertionError(e);
            }
        }
    }

    private void handle(HttpCall call) {
        try {
            switch (call.path()) {
                case "/v1/stage" -> stage(call);
                case "/healthz" -> call.respond(200, "text/plain", "ok\n".getBytes());
                case "/admin/faults" -> {
                    faults = EndpointFaults.read(Json.readTree(call.body()));
                    callsSinceFaults.set(0);
                    call.respondJson(200, faults);
                }
                case "/v1/engine" -> orders.show(call);
                case "/v1/engine/order" -> orders.take(call);
                case "/admin/orders" -> call.respondJson(200, orders.entries());
                case "/admin/runs" -> call.respondJson(200, log.runs());
                case "/admin/stats" -> call.respondJson(200, log.stats());
                default -> call.respond(404, "text/plain", new byte[0]);
            }
        } catch (InvalidDocumentException e) {
            call.respond(400, "text/plain", e.getMessage().getBytes());
        }
    }

    private void stage(HttpCall call) throws InvalidDocumentException {
        StageCall stageCall = Json.read(call.body(), StageCall.class);
        EndpointFaults now = faults;
        log.arrived(stageCall);
        boolean early = callsSinceFaults.getAndIncrement() < now.refuseFirst();
        if (now.refuse() || early || orders.loading()) {
            call.respond(UNAVAILABLE, HttpCall.JSON, new byte[0], java.util.Map.of("wingstall-not-run", "true"));
            return;
        }
        if (now.hang()) {
            return;
        }
        if (now.fail()) {
            log.started(stageCall);
            call.respond(INTERNAL_ERROR, HttpCall.JSON, new byte[0]);
            return;
        }
        boolean ends =
                !now.endsOn().isEmpty() && stageCall.getInput().toString().contains(now.endsOn());
        if (ends) {
            Runtime.getRuntime().halt(1);
        }
        worker.take(call, stageCall);
    }
}
