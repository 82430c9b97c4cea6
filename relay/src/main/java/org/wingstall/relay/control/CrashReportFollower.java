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
    private static final int MAX_PENDING = 200;

    /** Pause between looks whether this box is still told of reports, in ms; a quarter of the time after which it must know. */
    private static final long HUB_CHECK_INTERVAL_MS = 1000;

    private final EventLoop loop;
    private final CrashReportStore store;
    private final Consumer<CrashReport> listener;
    private final BooleanSupplier receivesFromHubs;
    private final SourceHealth readHealth = new SourceHealth("crash-reports");
    private final SourceHealth writeHealth = new SourceHealth("crash-reports-kept");
    private final Map<String, CrashReport> pending = new LinkedHashMap<>();
    private boolean fullReadDue = true;
    private boolean initialReadDone;
    private boolean writeInProgress;

    /**
     * Creates a follower.
     *
     * @param loop the control loop
     * @param store where the reports are kept
     * @param listener takes what is read
     * @param told whether hubs tell this box of all reports over their links
     */
    public CrashReportFollower(
            EventLoop loop, CrashReportStore store, Consumer<CrashReport> listener, BooleanSupplier receivesFromHubs) {
        this.receivesFromHubs = receivesFromHubs;
        this.loop = loop;
        this.store = store;
        this.listener = listener;
    }

    /** Begins to follow. */
    public void start() {
        loop.execute(this::poll);
    }

    /** A call that waits at the store has its price, so a box that learns of reports anyway makes none. */
    private void poll() {
        if (initialReadDone && receivesFromHubs.getAsBoolean()) {
            fullReadDue = true;
            loop.schedule(this::poll, HUB_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else {
            store.next(fullReadDue).whenCompleteAsync(this::onRead, loop);
        }
    }

    private void onRead(List<CrashReport> reports, Throwable failure) {
        fullReadDue = failure != null;
        if (failure == null) {
            initialReadDone = true;
            reports.forEach(this::process);
        }
        readHealth.recordResult(failure);
        long delayMs = failure == null ? 0 : readHealth.retryDelayMs(initialReadDone);
        loop.schedule(this::poll, delayMs, TimeUnit.MILLISECONDS);
    }

    private void process(CrashReport report) {
        if (report.getAgeMs() < Quarantine.REPORT_RETENTION_MS) {
            listener.accept(report);
        } else {
            store.delete(report.getFingerprint())
                    .whenCompleteAsync((done, failure) -> writeHealth.recordResult(failure), loop);
        }
    }

    /** Keeps a report, at once or when the store answers again. For use on any thread. */
    public void save(CrashReport report) {
        loop.execute(() -> {
            boolean room = pending.size() < MAX_PENDING || pending.containsKey(report.getFingerprint());
            if (room) {
                pending.put(report.getFingerprint(), report);
            }
            writeNext();
        });
    }

    private void writeNext() {
        if (writeInProgress || pending.isEmpty()) {
            return;
        }
        writeInProgress = true;
        CrashReport report = pending.values().iterator().next();
        store.save(report).whenCompleteAsync((done, failure) -> onWritten(report, failure), loop);
    }

    private void onWritten(CrashReport report, Throwable failure) {
        writeHealth.recordResult(failure);
        if (failure == null) {
            pending.remove(report.getFingerprint(), report);
        }
        long delayMs = failure == null ? 0 : writeHealth.retryDelayMs(true);
        loop.schedule(
                () -> {
                    writeInProgress = false;
                    writeNext();
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }
}
