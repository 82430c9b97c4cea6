package org.wingstall.gateway.relay;

import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;

/**
 * Logs when a box reaches each step of its start, and for which steps it waits. Confined to the loop that checks it.
 *
 * <p>{@code new StartTimeline(clock).await("config", state.config()::known).start(loop);}
 */
final class StartTimeline {
    private static final Logger LOG = LogManager.getLogger(StartTimeline.class);

    /** Interval between two checks of the steps, in ms. */
    private static final long CHECK_MS = 200;

    /** Interval between two lines about steps that are not reached, in ms. */
    private static final long WAITING_LINE_MS = 2000;

    /** Time after which steps are not checked any more, in ms: a box may have no peer and no caller. */
    private static final long WATCHED_MS = 30_000;

    private final MonotonicClock clock;
    private final long beganMs;
    private final Map<String, BooleanSupplier> missing = new LinkedHashMap<>();
    private final Map<String, Long> reachedAfterMs = new LinkedHashMap<>();
    private long lastLineMs;

    /** Creates a timeline that begins now. */
    StartTimeline(MonotonicClock clock) {
        this.clock = clock;
        this.beganMs = clock.nowMs();
        this.lastLineMs = beganMs;
    }

    /** Adds a step that is reached when the condition holds for the first time. */
    StartTimeline await(String step, BooleanSupplier condition) {
        missing.put(step, condition);
        return this;
    }

    /** Starts to check the steps on an event loop. */
    void start(EventLoop loop) {
        loop.execute(() -> repeat(loop));
    }

    private void repeat(EventLoop loop) {
        check();
        if (!missing.isEmpty() && clock.nowMs() - beganMs < WATCHED_MS) {
            loop.schedule(() -> repeat(loop), CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Records the steps that are reached by now. */
    void check() {
        long nowMs = clock.nowMs();
        missing.entrySet().removeIf(step -> {
            boolean reached = step.getValue().getAsBoolean();
            if (reached) {
                reachedAfterMs.put(step.getKey(), nowMs - beganMs);
            }
            return reached;
        });
        if (missing.isEmpty()) {
            line("start-complete");
        } else if (nowMs - lastLineMs >= WAITING_LINE_MS) {
            lastLineMs = nowMs;
            line("start-waiting");
        }
    }

    /** Returns the steps that are not reached. */
    Set<String> missing() {
        return Set.copyOf(missing.keySet());
    }

    /** Returns the time from the start until each step was reached, in ms. */
    Map<String, Long> reachedAfterMs() {
        return Map.copyOf(reachedAfterMs);
    }

    private void line(String event) {
        LogEvent line = LogEvent.info(event);
        reachedAfterMs.forEach((step, afterMs) -> line.with(step + "Ms", afterMs));
        line.with("missing", missing.keySet()).to(LOG);
    }
}
