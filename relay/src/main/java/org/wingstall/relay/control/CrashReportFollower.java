package org.wingstall.relay.control;

import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.wingstall.core.quarantine.Quarantine;
import org.wingstall.relay.wire.CrashReportStore;
import org.wingstall.schema.peer.CrashReport;

/**
 * Saves reports of requests that crash endpoints, and reads those of other boxes. Runs on the control loop.
 *
 * <p>{@code follower.start(); follower.save(report);}
 *
 * @since 0.7
 */
public final class CrashReportFollower {
    /** Maximum reports that wait to be saved while the store fails; peer links still deliver them. */
    private static final int MAX_PENDING = 200;

    /**
     * Interval between checks whether hubs still send reports, in ms; a quarter of the time within which a box must
     * know one.
     */
    private static final long HUB_CHECK_INTERVAL_MS = 1000;

    private final EventLoop loop;
    private final CrashReportStore store;
    private final Consumer<CrashReport> listener;
    private final BooleanSupplier receivesFromHubs;
    private final SourceHealth readHealth = new SourceHealth("crash-reports");
    private final SourceHealth writeHealth = new SourceHealth("crash-reports-kept");
    private final Map<String, CrashReport> pending = new LinkedHashMap<>();
    private final Set<String> saved = new LinkedHashSet<>();
    private boolean fullReadDue = true;
    private volatile boolean initialReadDone;
    private boolean writeInProgress;

    /**
     * Creates a follower.
     *
     * @param loop the control loop
     * @param store store of the reports
     * @param listener receives the reports that are read
     * @param receivesFromHubs whether hubs send this box all reports over peer links
     */
    public CrashReportFollower(
            EventLoop loop, CrashReportStore store, Consumer<CrashReport> listener, BooleanSupplier receivesFromHubs) {
        this.receivesFromHubs = receivesFromHubs;
        this.loop = loop;
        this.store = store;
        this.listener = listener;
    }

    /** Starts polling. */
    public void start() {
        loop.execute(this::poll);
    }

    /** Calls that wait at the store are costly, so a box that gets reports from hubs makes none. */
    private void poll() {
        if (initialReadDone && receivesFromHubs.getAsBoolean()) {
            fullReadDue = true;
            loop.schedule(this::poll, HUB_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else {
            store.next(fullReadDue).whenCompleteAsync(this::onRead, loop);
        }
    }

    /** Returns whether the reports that were saved before have been read. */
    public boolean initialReadDone() {
        return initialReadDone;
    }

    private void onRead(List<CrashReport> reports, Throwable failure) {
        fullReadDue = failure != null;
        if (failure == null) {
            reports.forEach(this::process);
            initialReadDone = true;
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

    /** Saves a report, now or when the store is available again. For use on any thread. */
    public void save(CrashReport report) {
        loop.execute(() -> {
            boolean room = pending.size() < MAX_PENDING || pending.containsKey(report.getFingerprint());
            if (room) {
                pending.put(report.getFingerprint(), report);
            }
            writeNext();
        });
    }

    /**
     * Saves again what this box has saved, since a store that was restored may lack it. For use on any thread.
     *
     * @param current the reports as they are now
     */
    public void saveAgain(List<CrashReport> current) {
        loop.execute(() -> current.stream()
                .filter(report -> saved.contains(report.getFingerprint()))
                .forEach(this::save));
    }

    private void recordSaved(String fingerprint) {
        saved.remove(fingerprint);
        saved.add(fingerprint);
        if (saved.size() > MAX_PENDING) {
            saved.remove(saved.iterator().next());
        }
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
            recordSaved(report.getFingerprint());
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
