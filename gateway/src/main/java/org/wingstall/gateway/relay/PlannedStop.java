package org.wingstall.gateway.relay;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.http.HttpServer;
import org.wingstall.net.log.LogEvent;
import org.wingstall.peer.PeerMesh;
import org.wingstall.relay.run.RelayHandler;
import org.wingstall.schema.settings.RelaySettings;

/**
 * The planned stop of a gateway that calls itself not ready by now.
 *
 * <p>{@code new PlannedStop(clock, mesh, callers, handler).run(settings);}
 */
final class PlannedStop {
    private static final Logger LOG = LogManager.getLogger(PlannedStop.class);

    /** Part of the grace that is left unused, for the end of the process itself, in ms. */
    private static final long MARGIN_MS = 500;

    /** Time for the last answers to reach their callers, in ms. */
    private static final long LAST_ANSWERS_MS = 100;

    /** Longest time for which requests are taken that may outlast the grace, in ms. */
    private static final long TAKE_ALL_MS = 2500;

    /** Part of the grace after which such requests are refused in any case. */
    private static final int TAKE_ALL_DIVISOR = 3;

    /** Pause between two looks at what is in flight, in ms. */
    private static final long CHECK_MS = 20;

    private final MonotonicClock clock;
    private final PeerMesh mesh;
    private final HttpServer callers;
    private final RelayHandler handler;

    PlannedStop(MonotonicClock clock, PeerMesh mesh, HttpServer callers, RelayHandler handler) {
        this.clock = clock;
        this.mesh = mesh;
        this.callers = callers;
        this.handler = handler;
    }

    /**
     * Returns when the last connection of a caller or through this box has ended, or the grace is nearly over. What runs
     * then is ended with an answer.
     */
    void run(RelaySettings settings) {
        long graceMs = Math.round(settings.getStopGraceSeconds() * TimeUnit.SECONDS.toMillis(1));
        long startedMs = clock.nowMs();
        long endMs = startedMs + graceMs - MARGIN_MS;
        long takeAllMs = Math.min(TAKE_ALL_MS, graceMs / TAKE_ALL_DIVISOR);
        LogEvent.info("stopping").with("inFlight", handler.inFlight()).to(LOG);
        mesh.beatNow();
        handler.stopAt(new RelayHandler.PlannedEnd(startedMs + takeAllMs, endMs - LAST_ANSWERS_MS));
        callers.closeAfterAnswers();
        waitUntil(startedMs + settings.getStopNoticeMs(), () -> false);
        callers.close();
        callers.drain();
        waitUntil(endMs - LAST_ANSWERS_MS, this::ended);
        int inFlight = handler.inFlight();
        handler.endAll();
        waitUntil(endMs, this::ended);
        LogEvent.info("stopped")
                .with("inFlight", inFlight)
                .with("connections", callers.connections())
                .with("tunnels", mesh.tunnels().carried())
                .to(LOG);
        mesh.close();
    }

    private boolean ended() {
        return callers.connections() == 0 && mesh.tunnels().carried() == 0;
    }

    private void waitUntil(long untilMs, BooleanSupplier done) {
        while (clock.nowMs() < untilMs && !done.getAsBoolean()) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(CHECK_MS));
        }
    }
}
