package org.wingstall.net;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;

/**
 * Work that an event loop repeats for as long as the process lives; a run that fails does not end it, unlike with the
 * executors' own periodic schedules.
 *
 * <p>{@code PeriodicTask.start(loop, "probe", () -> 1000, this::probeEjected);}
 *
 * @since 0.1
 */
public final class PeriodicTask {
    private static final Logger LOG = LogManager.getLogger(PeriodicTask.class);

    private final EventExecutor loop;
    private final String name;
    private final LongSupplier delayMs;
    private final Runnable work;

    private PeriodicTask(EventExecutor loop, String name, LongSupplier delayMs, Runnable work) {
        this.loop = loop;
        this.name = name;
        this.delayMs = delayMs;
        this.work = work;
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
        loop.execute(new PeriodicTask(loop, name, delayMs, work)::run);
    }

    private void run() {
        try {
            work.run();
        } catch (RuntimeException e) {
            LogEvent.warn("periodic-task-failed").with("task", name).cause(e).to(LOG);
        } finally {
            loop.schedule(this::run, delayMs.getAsLong(), TimeUnit.MILLISECONDS);
        }
    }
}
