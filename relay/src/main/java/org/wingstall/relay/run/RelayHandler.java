package org.wingstall.relay.run;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.answer.RefusedException;
import org.wingstall.net.http.HttpCall;
import org.wingstall.net.http.HttpHandler;
import org.wingstall.relay.config.RelayConfig;
import org.wingstall.relay.config.Route;
import org.wingstall.relay.config.Workspace;
import org.wingstall.relay.stream.StreamVersion;
import org.wingstall.relay.wire.RelayRequest;

/**
 * Handles requests of callers: finds route and workspace, then starts a run or refuses.
 *
 * <p>{@code HttpServer.start(group, address, limits, new RelayHandler(context, ready), rejections);}
 *
 * @since 0.2
 */
public final class RelayHandler implements HttpHandler {
    /** Retry-after time while no configuration is known yet, in ms; a start takes about this long. */
    private static final long STARTUP_RETRY_AFTER_MS = 500;

    /** Retry-after time of a box that stops, in ms; other boxes serve at once. */
    private static final long STOPPING_RETRY_AFTER_MS = 50;

    private final RelayContext context;
    private final BooleanSupplier ready;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final Set<RelayRun> runs = new HashSet<>();
    private volatile PlannedEnd plannedEnd = PlannedEnd.NONE;

    /**
     * The end of a planned stop.
     *
     * @param takeAllUntilMs time until which requests are taken whatever time they have, in ms of the monotonic clock
     * @param atMs time at which the requests in flight are ended, in ms of the monotonic clock
     */
    public record PlannedEnd(long takeAllUntilMs, long atMs) {
        private static final PlannedEnd NONE = new PlannedEnd(Long.MAX_VALUE, Long.MAX_VALUE);

        private boolean refuses(RequestTimes times) {
            return times.arrivedMs() >= takeAllUntilMs && times.latestEndMs() > atMs;
        }
    }

    /**
     * Creates a handler.
     *
     * @param context dependencies that all requests share
     * @param ready whether configuration and endpoints are known
     */
    public RelayHandler(RelayContext context, BooleanSupplier ready) {
        this.context = context;
        this.ready = ready;
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return inFlight.get();
    }

    /** Refuses requests that come late in a planned stop and may outlast it. For use on any thread. */
    public void stopAt(PlannedEnd end) {
        plannedEnd = end;
    }

    /** Ends the requests in flight, each with an answer if none has begun. For use on any thread. */
    public void endAll() {
        context.loop().execute(() -> List.copyOf(runs).forEach(RelayRun::endForStop));
    }

    @Override
    public void handle(HttpCall call) {
        RelayConfig config = context.config().get();
        try {
            begin(call, config);
        } catch (RefusedException refusal) {
            context.metrics().recordRefusal(refusal.reason());
            context.log()
                    .logRejected(context.callerProtocol().requestId(call), call.target(), refusal, config.version());
            context.callerProtocol().refuse(call, refusal);
        }
    }

    private void begin(HttpCall call, RelayConfig config) throws RefusedException {
        if (!ready.getAsBoolean()) {
            long againMs = context.retryAfter().jitteredMs(STARTUP_RETRY_AFTER_MS);
            throw new RefusedException(Reason.NOT_READY, "no configuration or no endpoints are known yet", againMs);
        }
        RelayRequest request = context.callerProtocol().decode(call);
        Optional<Route> route = config.findRoute(request.host(), request.path());
        if (route.isEmpty()) {
            throw new RefusedException(
                    Reason.UNKNOWN_ROUTE, "no route for '" + request.host() + request.path() + "'", 0);
        }
        Workspace workspace = workspaceOf(request, route.get(), config);
        RequestTimes times = new RequestTimes(context.clock(), route.get(), request);
        checkEndsBeforeStop(times);
        long configAgeMs = context.configAgeMs().getAsLong();
        begin(new RoutedRequest(call, request, route.get(), workspace, config.version(), configAgeMs, times));
    }

    private void checkEndsBeforeStop(RequestTimes times) throws RefusedException {
        PlannedEnd end = plannedEnd;
        if (end.refuses(times)) {
            String detail = "the planned stop ends in " + (end.atMs() - times.arrivedMs())
                    + " ms, and the request may take " + (times.latestEndMs() - times.arrivedMs()) + " ms";
            throw new RefusedException(
                    Reason.STOPPING, detail, context.retryAfter().jitteredMs(STOPPING_RETRY_AFTER_MS));
        }
    }

    private void begin(RoutedRequest routed) {
        inFlight.incrementAndGet();
        if (routed.resumesStream()) {
            context.streamOrigins().find(routed.resumedStream(), stream -> resume(routed, stream));
        } else {
            run(routed, StreamVersion.ANY);
        }
    }

    private void resume(RoutedRequest routed, StreamVersion stream) {
        if (routed.call().answered()) {
            // The caller closed its connection meanwhile.
            inFlight.decrementAndGet();
        } else {
            run(routed, stream);
        }
    }

    private void run(RoutedRequest routed, StreamVersion stream) {
        RelayRun run = new RelayRun(context, routed, stream, this::finished);
        runs.add(run);
        run.start();
    }

    private void finished(RelayRun run) {
        runs.remove(run);
        inFlight.decrementAndGet();
    }

    private static Workspace workspaceOf(RelayRequest request, Route route, RelayConfig config)
            throws RefusedException {
        Optional<Workspace> holder = config.workspaceForKey(request.key());
        boolean needed = config.keysRequired() && !route.keyOptional();
        if (needed && holder.isEmpty()) {
            throw new RefusedException(Reason.UNKNOWN_KEY, "no workspace holds the key", 0);
        }
        return holder.orElse(Workspace.NONE);
    }
}
