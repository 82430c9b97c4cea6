package org.wingstall.relay.control;

import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.relay.wire.CrashReportStore;
import org.wingstall.schema.peer.CrashReport;

/**
 * Keeps reports of requests that crash endpoints, and follows those that other boxes keep. Runs on the control loop.
 *
 * <p>{@code follower.start(); follower.keep(report);}
 *
 * @since 0.7
 */
public final class CrashReportFollower {
    /** Reports that wait to be kept while the store gives no answers; the links carry them meanwhile. */
    private static final int MOST_WAITING = 200;

    /** Pause between looks whether this box is still told of reports, in ms; a quarter of the time after which it must know. */
    private static final long TOLD_CHECK_MS = 1000;

    private final EventLoop loop;
    private final CrashReportStore store;
    private final Consumer<CrashReport> listener;
    private final BooleanSupplier told;
    private final SourceHealth reading = new SourceHealth("crash-reports");
    private final SourceHealth keeping = new SourceHealth("crash-reports-kept");
    private final Map<String, CrashReport> waiting = new LinkedHashMap<>();
    private boolean readWhole = true;
    private boolean known;
    private boolean writing;

    /**
     * Creates a follower.
     *
     * @param loop the control loop
     * @param store where the reports are kept
     * @param listener takes what is read
     * @param told whether hubs tell this box of all reports over their links
     */
    public CrashReportFollower(
            EventLoop loop, CrashReportStore store, Consumer<CrashReport> listener, BooleanSupplier told) {
        this.told = told;
        this.loop = loop;
        this.store = store;
        this.listener = listener;
    }

    /** Begins to follow. */
    public void start() {
        loop.execute(this::follow);
    }

    /** A call that waits at the store has its price, so a box that learns of reports anyway makes none. */
    private void follow() {
        if (known && told.getAsBoolean()) {
            readWhole = true;
            loop.schedule(this::follow, TOLD_CHECK_MS, TimeUnit.MILLISECONDS);
        } else {
            store.next(readWhole).whenCompleteAsync(this::read, loop);
        }
    }

    private void read(List<CrashReport> reports, Throwable failure) {
        readWhole = failure != null;
        if (failure == null) {
            known = true;
            reports.forEach(this::take);
        }
        reading.ended(failure);
        long delayMs = failure == null ? 0 : reading.repeatMs(known);
        loop.schedule(this::follow, delayMs, TimeUnit.MILLISECONDS);
    }

    private void take(CrashReport report) {
        if (report.getAgeMs() < Quarantine.FORGET_MS) {
            listener.accept(report);
        } else {
            store.drop(report.getFingerprint()).whenCompleteAsync((done, failure) -> keeping.ended(failure), loop);
        }
    }

    /** Keeps a report, at once or when the store answers again. For use on any thread. */
    public void keep(CrashReport report) {
        loop.execute(() -> {
            boolean room = waiting.size() < MOST_WAITING || waiting.containsKey(report.getFingerprint());
            if (room) {
                waiting.put(report.getFingerprint(), report);
            }
            writeNext();
        });
    }

    private void writeNext() {
        if (writing || waiting.isEmpty()) {
            return;
        }
        writing = true;
        CrashReport report = waiting.values().iterator().next();
        store.keep(report).whenCompleteAsync((done, failure) -> written(report, failure), loop);
    }

    private void written(CrashReport report, Throwable failure) {
        keeping.ended(failure);
        if (failure == null) {
            waiting.remove(report.getFingerprint(), report);
        }
        long delayMs = failure == null ? 0 : keeping.repeatMs(true);
        loop.schedule(
                () -> {
                    writing = false;
                    writeNext();
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }
}
