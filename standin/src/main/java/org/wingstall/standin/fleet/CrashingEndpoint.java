package org.wingstall.standin.fleet;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.member.Addresses;
import org.wingstall.net.BindException;
import org.wingstall.net.http.HttpCall;
import org.wingstall.net.http.HttpHandler;
import org.wingstall.net.http.HttpServer;
import org.wingstall.net.log.LogEvent;

/**
 * Stands in for an endpoint that a request can crash: whatever it runs ends with it, and it comes back at the same address as
 * another incarnation.
 *
 * <p>{@code new CrashingEndpoint(fleet, log, new CrashingEndpoint.Kind("engine", "east", "e1", 5)).start();}
 *
 * @since 0.7
 */
public final class CrashingEndpoint implements HttpHandler {
    private static final Logger LOG = LogManager.getLogger(CrashingEndpoint.class);

    /** Text in a request's body, or in the key of a piece, that crashes whatever begins to run it. */
    public static final String CRASH = "crash-what-runs-this";

    /** Identifier of a part of prompts that crashes whatever begins to answer one, wherever it stands before the last part. */
    public static final String CRASHING_PART = "c4a5";

    private static final String PROMPT_PARTS = "X-Wingstall-Prefix-Hash";

    /** Time from the begin of the run until the process ends, in ms. */
    private static final long RUN_MS = 40;

    /** Time until the entry of an endpoint that ended lapses, in ms. */
    private static final long LAPSE_MS = 400;

    /** Time until the next incarnation serves, in ms. */
    private static final long RESTART_MS = 600;

    private static final long CALL_MS = 20;

    private final FleetStandin fleet;
    private final CrashLog log;
    private final Kind kind;
    private volatile int life;
    private volatile HttpServer server;
    private InetSocketAddress address;
    private volatile WorkerStandin worker;
    private volatile boolean ending;

    /** What an endpoint is: its service, failure domain, name, and the events of its streams. */
    public record Kind(String service, String failureDomain, String name, int events) {}

    /**
     * A run of a request that crashes endpoints; several may end with one incarnation.
     *
     * @param requestId identifier of the caller's attempt; null for a call for pieces
     * @param atMs when it began, in ms of the process's steady clock
     * @param incarnation what ended under it
     */
    public record CrashingRun(String requestId, long atMs, String incarnation) {}

    /** All runs of requests that crash endpoints, in order. */
    public static final class CrashLog {
        private final List<CrashingRun> runs = new CopyOnWriteArrayList<>();

        /** Records a run. */
        public void add(CrashingRun run) {
            runs.add(run);
        }

        /** Returns the runs so far. */
        public List<CrashingRun> runs() {
            return List.copyOf(runs);
        }

        /** Returns the incarnations that ended so far. */
        public long ended() {
            return runs.stream().map(CrashingRun::incarnation).distinct().count();
        }
    }

    /** Creates an endpoint; it is not started yet. */
    public CrashingEndpoint(FleetStandin fleet, CrashLog log, Kind kind) {
        this.fleet = fleet;
        this.log = log;
        this.kind = kind;
    }

    /** Starts the next incarnation and lists it. */
    public void start() throws BindException {
        life++;
        worker = new WorkerStandin(incarnation(), kind.events(), CALL_MS);
        ending = false;
        server = fleet.serve(this, address == null ? 0 : address.getPort());
        address = server.address();
        fleet.list(kind.service(), kind.failureDomain(), incarnation(), Addresses.format(address), "ready");
    }

    private String incarnation() {
        return kind.name() + "-" + life;
    }

    @Override
    public void handle(HttpCall call) {
        String expected = call.header("X-Wingstall-Expect-Instance");
        boolean meant = expected == null || expected.equals(incarnation());
        if (meant && crashing(call)) {
            crash(call);
        } else {
            worker.handle(call);
        }
    }

    private static boolean crashing(HttpCall call) {
        boolean free = call.path().equals("/v1/stage-free");
        return !free && new String(call.body(), StandardCharsets.UTF_8).contains(CRASH)
                || hasCrashingPart(call.header(PROMPT_PARTS));
    }

    private static boolean hasCrashingPart(String prompt) {
        if (prompt == null) {
            return false;
        }
        List<String> parts = List.of(prompt.split(","));
        return parts.subList(0, parts.size() - 1).stream()
                .map(part -> part.substring(0, part.indexOf(':')))
                .anyMatch(CRASHING_PART::equals);
    }

    private void crash(HttpCall call) {
        long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        log.add(new CrashingRun(WorkerStandin.requestId(call), nowMs, incarnation()));
        if (!ending) {
            ending = true;
            after(RUN_MS, this::end);
        }
    }

    private static void after(long delayMs, Runnable step) {
        CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS).execute(step);
    }

    private void end() {
        String ended = incarnation();
        server.abort();
        after(LAPSE_MS, () -> fleet.store().remove("servers", ended));
        after(RESTART_MS, this::startAgain);
    }

    private void startAgain() {
        try {
            start();
        } catch (BindException e) {
            LogEvent.warn("endpoint-not-restarted")
                    .with("endpoint", kind.name())
                    .cause(e)
                    .to(LOG);
        }
    }
}
