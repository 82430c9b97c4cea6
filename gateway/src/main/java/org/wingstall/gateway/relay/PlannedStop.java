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

    /** Returns when the last connection of a caller or through this box has ended, or the grace is nearly over. */
    void run(RelaySettings settings) {
        long graceMs = Math.round(settings.getStopGraceSeconds() * TimeUnit.SECONDS.toMillis(1));
        long untilMs = clock.nowMs() + graceMs - MARGIN_MS;
        LogEvent.info("stopping").with("inFlight", handler.inFlight()).to(LOG);
        mesh.beatNow();
        callers.closeAfterAnswers();
        waitUntil(clock.nowMs() + settings.getStopNoticeMs(), () -> false);
        callers.close();
        callers.drain();
        waitUntil(untilMs, () -> callers.connections() == 0 && mesh.tunnels().carried() == 0);
        LogEvent.info("stopped").with("inFlight", handler.inFlight()).to(LOG);
        mesh.close();
    }

    private void waitUntil(long untilMs, BooleanSupplier done) {
        while (clock.nowMs() < untilMs && !done.getAsBoolean()) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(CHECK_MS));
        }
    }
}
