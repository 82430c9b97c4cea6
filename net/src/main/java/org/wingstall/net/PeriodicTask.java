package org.wingstall.net;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;

/**
 * Work that an event loop repeats for as long as the process lives; a run that fails does not end it, unlike with the
 * executors' own periodic schedules. A run that begins late shows that the loop or the whole process stood still.
 *
 * <p>{@code PeriodicTask.start(loop, "probe", () -> 1000, this::probeEjected);}
 *
 * @since 0.1
 */
public final class PeriodicTask {
    private static final Logger LOG = LogManager.getLogger(PeriodicTask.class);

    /** Lateness from which a run is logged, in ms: several times what a busy loop causes. */
    private static final long LATE_MS = 500;

    private final EventExecutor loop;
    private final String name;
    private final LongSupplier delayMs;
    private final Runnable work;
    private final LongConsumer lateness;
    private long dueAtNs;

    private PeriodicTask(EventExecutor loop, String name, LongSupplier delayMs, Runnable work, LongConsumer lateness) {
        this.loop = loop;
        this.name = name;
        this.delayMs = delayMs;
        this.work = work;
        this.lateness = lateness;
    }

    /**
     * Does the work now and again after each delay.
     *
     * @param loop event loop that does the work
     * @param name name in the log when a run fails
     * @param delayMs time from the end of one run to the next, in ms; asked after each run
     * @param work the work
     */
    public static void start(EventExecutor loop, String name, LongSupplier delayMs, Runnable work) {
        loop.execute(new PeriodicTask(loop, name, delayMs, work, lateMs -> {})::begin);
    }

    /**
     * Does the work now and then at multiples of an interval, so that tasks with the same or a multiple of the interval run
     * in one wake-up of the loop. With a wake-up each, the timers of an idle gateway cost more than its heartbeats.
     *
     * @param loop event loop that does the work
     * @param name name in the log when a run fails
     * @param intervalMs time between two runs, in ms; a run that takes longer delays the next to the following multiple
     * @param work the work
     */
    public static void startAligned(EventExecutor loop, String name, long intervalMs, Runnable work) {
        start(loop, name, () -> untilMultipleMs(System.nanoTime(), intervalMs), work);
    }

    /**
     * Does the work at multiples of an interval, and tells how late each run is.
     *
     * @param loop event loop that does the work
     * @param name name in the log when a run fails
     * @param intervalMs time between two runs, in ms
     * @param work the work
     * @param lateness receives the lateness of each run, in ms
     */
    public static void startAligned(
            EventExecutor loop, String name, long intervalMs, Runnable work, LongConsumer lateness) {
        LongSupplier delayMs = () -> untilMultipleMs(System.nanoTime(), intervalMs);
        loop.execute(new PeriodicTask(loop, name, delayMs, work, lateness)::begin);
    }

    /** Returns the time until the next multiple of an interval, in ms; at least half of the interval. */
    static long untilMultipleMs(long nowNs, long intervalMs) {
        long nowMs = TimeUnit.NANOSECONDS.toMillis(nowNs);
        long leftMs = intervalMs - Math.floorMod(nowMs, intervalMs);
        return leftMs < intervalMs / 2 ? leftMs + intervalMs : leftMs;
    }

    private void begin() {
        dueAtNs = System.nanoTime();
        run();
    }

    private void run() {
        logIfLate();
        try {
            work.run();
        } catch (RuntimeException e) {
            LogEvent.warn("periodic-task-failed").with("task", name).cause(e).to(LOG);
        } finally {
            long nextMs = delayMs.getAsLong();
            dueAtNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(nextMs);
            loop.schedule(this::run, nextMs, TimeUnit.MILLISECONDS);
        }
    }

    private void logIfLate() {
        long lateMs = Math.max(0, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dueAtNs));
        lateness.accept(lateMs);
        if (lateMs >= LATE_MS) {
            LogEvent.warn("event-loop-late")
                    .with("task", name)
                    .with("lateMs", lateMs)
                    .to(LOG);
        }
    }
}
