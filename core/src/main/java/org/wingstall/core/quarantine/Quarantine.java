package org.wingstall.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.wingstall.core.answer.Reason;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;
import org.wingstall.schema.peer.CrashTrial;

/**
 * Refuses requests that crash the endpoints that run them, on whichever boxes they arrive. Thread-safe.
 *
 * <p>When the connection to an endpoint ends, every request that ran there becomes a suspect, and boxes merge the
 * losses that they observed. A request that was sent to an endpoint which was already lost does not. A complete
 * successful response on any box clears a request. A later complete response from the endpoint shows that only a
 * connection broke and withdraws that loss. After two losses a request is sent only as a trial: one box sends it at a
 * time, to an endpoint that runs no other trial and that new requests avoid, so that a third loss can be attributed
 * to it. After three losses the request is refused, for a time that doubles with each further loss; then it is sent
 * as a trial again.
 *
 * <p>{@code quarantine.refusal(run::fingerprint).ifPresent(this::refuse);
 * quarantine.endpointLost(List.of(fingerprint), "i-7f3a@0", sentAtMs);}
 *
 * @since 0.7
 */
public final class Quarantine {
    /** Age after which a crash report has no effect and can be deleted, in ms: one day. */
    public static final long REPORT_RETENTION_MS = 86_400_000;

    /** Number of losses from which a request is quarantined. */
    static final int QUARANTINE_THRESHOLD = 3;

    /**
     * Time for which a request is quarantined after its third loss, in ms; an operator who fixes the cause earlier can
     * lift the quarantine.
     */
    private static final long INITIAL_QUARANTINE_MS = 600_000;

    /** Maximum number of doublings of the quarantine time, one for each further loss: up to about ten hours. */
    private static final int MAX_DOUBLINGS = 6;

    /** Retry hint while the same request is on trial elsewhere, in ms. */
    private static final long TRIAL_RETRY_AFTER_MS = 1000;

    /** Minimum time between two removals of expired entries, in ms: each one scans all entries. */
    private static final long EXPIRY_INTERVAL_MS = 1000;

    /** Maximum number of reports in one message; limits a frame to about 10 KB. */
    private static final int MAX_REPORTS_PER_MESSAGE = 100;

    private final String boxId;
    private final MonotonicClock clock;
    private final Listener listener;
    private final CrashRecordStore crashRecords = new CrashRecordStore();
    private final TrialTable trials = new TrialTable();
    private final LostEndpoints lostEndpoints = new LostEndpoints(CrashRecordStore.SUSPICION_MS, INITIAL_QUARANTINE_MS);

    private long startedTrials;
    private long lastExpiryMs = Long.MIN_VALUE / 2;

    /** Whether there is neither a suspect nor a trial, which is the usual state: requests are not hashed then. */
    private volatile boolean idle = true;

    /** Receives the messages and changes that a quarantine produces. */
    public interface Listener {
        /** Sends a message to all linked boxes except the one that it came from, which may be null. */
        void broadcast(CrashNews news, String exceptBox);

        /** Writes a report to the store, where it survives restarts of all boxes and reaches boxes without a link. */
        void persist(CrashReport report);

        /** Called when a request becomes suspected, quarantined or cleared. */
        void changed(CrashReport report, int activeLosses);

        /** Called when another box reports that it lost an endpoint, which may have ended. */
        void lossReported(String endpoint);

        /** Called when requests were lost at an endpoint that had been lost before they were sent there. */
        void lostAfterEnd(String endpoint, int requests);
    }

    /**
     * Creates an empty quarantine.
     *
     * @param boxId name of this box
     * @param clock monotonic clock
     * @param listener receives messages and changes
     */
    public Quarantine(String boxId, MonotonicClock clock, Listener listener) {
        this.boxId = boxId;
        this.clock = clock;
        this.listener = listener;
    }

    /**
     * Returns the refusal for a request that must not be sent now; the request is hashed only while there are suspects
     * or trials.
     */
    public Optional<QuarantineRefusal> refusal(Supplier<Fingerprint> request) {
        return idle ? Optional.empty() : refusal(request.get());
    }

    private synchronized Optional<QuarantineRefusal> refusal(Fingerprint request) {
        long nowMs = clock.nowMs();
        CrashRecord record = crashRecords.find(request, nowMs);
        long remainingMs = remainingQuarantineMs(record, nowMs);
        if (remainingMs > 0) {
            String detail = record.activeLossCount() + " endpoints ended while they ran this request";
            return Optional.of(new QuarantineRefusal(Reason.QUARANTINED, detail, remainingMs));
        }
        if (needsTrial(record) && trials.remainingMs(request, nowMs).isPresent()) {
            String detail = "endpoints ended while they ran this request, and one tries it now";
            return Optional.of(new QuarantineRefusal(Reason.SUSPECT_ON_TRIAL, detail, TRIAL_RETRY_AFTER_MS));
        }
        return Optional.empty();
    }

    private static long remainingQuarantineMs(CrashRecord record, long nowMs) {
        int activeLosses = record.activeLossCount();
        if (activeLosses < QUARANTINE_THRESHOLD) {
            return 0;
        }
        // A full record could not store the loss that a further trial causes, so the request gets no further trial.
        long quarantineMs = record.isFull()
                ? REPORT_RETENTION_MS
                : INITIAL_QUARANTINE_MS << Math.min(MAX_DOUBLINGS, activeLosses - QUARANTINE_THRESHOLD);
        return Math.max(0, record.lastLossAtMs() + quarantineMs - nowMs);
    }

    private static boolean needsTrial(CrashRecord record) {
        return record.activeLossCount() >= QUARANTINE_THRESHOLD - 1;
    }

    /** Returns whether a request is so suspect that it is sent only as a trial, to one endpoint at a time. */
    public boolean needsTrial(Supplier<Fingerprint> request) {
        return !idle && needsTrial(request.get());
    }

    private synchronized boolean needsTrial(Fingerprint request) {
        return needsTrial(crashRecords.find(request, clock.nowMs()));
    }

    /** Returns the endpoint incarnations that a request should avoid because another request is on trial there. */
    public Set<String> endpointsToAvoid(Supplier<Fingerprint> request) {
        return idle ? Set.of() : endpointsToAvoid(request.get());
    }

    private synchronized Set<String> endpointsToAvoid(Fingerprint request) {
        return trials.endpointsOfOthers(request, clock.nowMs());
    }

    /**
     * Records that a request is sent to an endpoint, and starts a trial if the request needs one.
     *
     * @return the identifier of the trial, which the sender ends with {@link #endTrial}; empty for a request that needs
     * none
     */
    public Optional<String> sent(Supplier<Fingerprint> request, String endpoint) {
        return idle ? Optional.empty() : sent(request.get(), endpoint);
    }

    private synchronized Optional<String> sent(Fingerprint request, String endpoint) {
        long nowMs = clock.nowMs();
        if (!needsTrial(crashRecords.find(request, nowMs))) {
            return Optional.empty();
        }
        String id = boxId + "/" + Long.toHexString(clock.nanoTime()) + "/" + startedTrials++;
        trials.start(request, id, endpoint, nowMs);
        listener.broadcast(trialMessage(new CrashTrial(request.hex(), id, endpoint)), null);
        return Optional.of(id);
    }

    /** Ends a trial that this box started, whatever its result. */
    public synchronized void endTrial(Fingerprint request, String trialId) {
        CrashTrial ended = new CrashTrial(request.hex(), trialId, null);
        if (trials.apply(ended, clock.nowMs())) {
            listener.broadcast(trialMessage(ended), null);
        }
    }

    /**
     * Records that the connection to an endpoint ended while the endpoint may have been running requests. They become
     * suspects unless the endpoint was known as lost, here or by a report, when they were sent, and has not answered
     * since: then it had ended before.
     *
     * @param requests the requests
     * @param endpoint the endpoint
     * @param sentAtMs when they were sent there, in ms of the monotonic clock
     */
    public synchronized void endpointLost(List<Fingerprint> requests, String endpoint, long sentAtMs) {
        if (!lostEndpoints.recordLoss(endpoint, sentAtMs, clock.nowMs())) {
            listener.lostAfterEnd(endpoint, requests.size());
            return;
        }
        List<CrashReport> reports = requests.stream()
                .map(request -> new CrashReport(request.hex(), List.of(endpoint), List.of(), 0))
                .toList();
        mergeReports(reports, null, true);
    }

    /** Returns whether a request has at least one loss that has not been withdrawn. */
    public boolean isSuspected(Supplier<Fingerprint> request) {
        return !idle && activeLossCount(request.get()) > 0;
    }

    private synchronized int activeLossCount(Fingerprint request) {
        return crashRecords.find(request, clock.nowMs()).activeLossCount();
    }

    /**
     * Records a complete response, which proves that the endpoint was alive after the request was sent. A success also
     * clears the request; a failure does not, since the endpoint may have answered without running it.
     *
     * @param request the request
     * @param endpoint the endpoint
     * @param sentAtMs when the request was sent there, in ms of the monotonic clock
     * @param success whether the response is a success
     */
    public void answered(Supplier<Fingerprint> request, String endpoint, long sentAtMs, boolean success) {
        if (!idle) {
            answered(request.get(), endpoint, sentAtMs, success);
        }
    }

    private synchronized void answered(Fingerprint request, String endpoint, long sentAtMs, boolean success) {
        List<CrashReport> cleared = new ArrayList<>();
        if (success) {
            clearingReport(request).ifPresent(cleared::add);
        }
        cleared.addAll(refutedLosses(endpoint, sentAtMs));
        if (!cleared.isEmpty()) {
            mergeReports(cleared, null, true);
        }
    }

    /**
     * Records a response of any kind, complete or not, to a request that was sent to an endpoint at {@code sentAtMs}:
     * it proves that the endpoint was alive after that.
     */
    public void endpointAnswered(String endpoint, long sentAtMs) {
        if (!idle) {
            withdrawRefutedLosses(endpoint, sentAtMs);
        }
    }

    private synchronized void withdrawRefutedLosses(String endpoint, long sentAtMs) {
        List<CrashReport> refuted = refutedLosses(endpoint, sentAtMs);
        if (!refuted.isEmpty()) {
            mergeReports(refuted, null, true);
        }
    }

    /** Returns reports that withdraw the losses of an endpoint if a response shows that it did not end with them. */
    private List<CrashReport> refutedLosses(String endpoint, long sentAtMs) {
        if (!lostEndpoints.recordAnswer(endpoint, sentAtMs)) {
            return List.of();
        }
        return crashRecords.requestsLostWith(endpoint).stream()
                .map(request -> new CrashReport(request.hex(), List.of(), List.of(endpoint), 0))
                .toList();
    }

    /** Returns a report that withdraws all losses of a request, if any of them is still active. */
    private Optional<CrashReport> clearingReport(Fingerprint request) {
        CrashRecord record = crashRecords.find(request, clock.nowMs());
        return record.activeLossCount() == 0
                ? Optional.empty()
                : Optional.of(new CrashReport(request.hex(), List.of(), List.copyOf(record.losses()), 0));
    }

    /**
     * Clears a request that an operator found harmless, or that the endpoints can run by now; returns whether it had
     * active losses.
     */
    public synchronized boolean lift(Fingerprint request) {
        Optional<CrashReport> lifted = clearingReport(request);
        lifted.ifPresent(report -> mergeReports(List.of(report), null, true));
        return lifted.isPresent();
    }

    /** Applies a message from another box and forwards what is new to the other boxes. */
    public synchronized void receive(String boxId, CrashNews news) {
        recordReportedLosses(news.getReports());
        mergeReports(news.getReports(), boxId, false);
        List<CrashTrial> newTrials = new ArrayList<>();
        for (CrashTrial trial : news.getTrials()) {
            if (trials.apply(trial, clock.nowMs())) {
                newTrials.add(trial);
            }
        }
        idle = crashRecords.isEmpty() && trials.isEmpty();
        if (!newTrials.isEmpty()) {
            listener.broadcast(new CrashNews(List.of(), newTrials), boxId);
        }
    }

    /** A report tells the age of its last loss only, so earlier ones may be recorded too late but never too early. */
    private void recordReportedLosses(List<CrashReport> reports) {
        long nowMs = clock.nowMs();
        for (CrashReport report : reports) {
            Set<String> known = crashRecords
                    .find(new Fingerprint(report.getFingerprint()), nowMs)
                    .losses();
            report.getLosses().stream()
                    .filter(endpoint -> !known.contains(endpoint))
                    .filter(endpoint -> !report.getWithdrawn().contains(endpoint))
                    .filter(endpoint -> lostEndpoints.recordReportedLoss(endpoint, nowMs - report.getAgeMs(), nowMs))
                    .forEach(listener::lossReported);
        }
    }

    /** Merges a report read from the store; if it lacks losses that are known here, writes the merged report back. */
    public synchronized void mergeStored(CrashReport stored) {
        recordReportedLosses(List.of(stored));
        mergeReports(List.of(stored), null, false);
        CrashRecord known = crashRecords.find(new Fingerprint(stored.getFingerprint()), clock.nowMs());
        CrashRecord storedRecord = CrashRecord.EMPTY.merge(stored, clock.nowMs());
        if (known.containsMoreThan(storedRecord)) {
            listener.persist(known.toReport(new Fingerprint(stored.getFingerprint()), clock.nowMs()));
        }
    }

    private void mergeReports(List<CrashReport> reports, String fromBox, boolean observedHere) {
        long nowMs = clock.nowMs();
        removeExpiredPeriodically(nowMs);
        List<CrashReport> merged = new ArrayList<>();
        boolean senderIsUpToDate = true;
        for (CrashReport report : reports) {
            Fingerprint request = new Fingerprint(report.getFingerprint());
            boolean quarantinedBefore = crashRecords.find(request, nowMs).activeLossCount() >= QUARANTINE_THRESHOLD;
            Optional<CrashReport> added = crashRecords.add(report, nowMs);
            if (added.isPresent()) {
                CrashRecord known = crashRecords.find(request, nowMs);
                merged.add(added.get());
                senderIsUpToDate &= !known.containsMoreThan(CrashRecord.EMPTY.merge(report, nowMs));
                listener.changed(added.get(), known.activeLossCount());
                // Each stored row wakes every box, so nothing is stored for one or two losses, which a few broken
                // connections can cause.
                if (observedHere && (quarantinedBefore || known.activeLossCount() >= QUARANTINE_THRESHOLD)) {
                    listener.persist(added.get());
                }
            }
        }
        idle = crashRecords.isEmpty() && trials.isEmpty();
        String exceptBox = senderIsUpToDate ? fromBox : null;
        toMessages(merged).forEach(message -> listener.broadcast(message, exceptBox));
    }

    private void removeExpiredPeriodically(long nowMs) {
        if (nowMs - lastExpiryMs >= EXPIRY_INTERVAL_MS) {
            lastExpiryMs = nowMs;
            lostEndpoints.removeExpired(nowMs);
            removeExpired(nowMs);
        }
    }

    private void removeExpired(long nowMs) {
        crashRecords.removeExpired(nowMs);
        trials.removeExpired(nowMs);
        idle = crashRecords.isEmpty() && trials.isEmpty();
    }

    private static CrashNews trialMessage(CrashTrial trial) {
        return new CrashNews(List.of(), List.of(trial));
    }

    private static List<CrashNews> toMessages(List<CrashReport> reports) {
        List<CrashNews> messages = new ArrayList<>();
        for (int from = 0; from < reports.size(); from += MAX_REPORTS_PER_MESSAGE) {
            int to = Math.min(reports.size(), from + MAX_REPORTS_PER_MESSAGE);
            messages.add(new CrashNews(reports.subList(from, to), List.of()));
        }
        return messages;
    }

    /** Returns all reports as messages for a box that has received none yet. */
    public synchronized List<CrashNews> snapshot() {
        return toMessages(reports());
    }

    /** Returns all current reports, as shown to operators. */
    public synchronized List<CrashReport> reports() {
        removeExpired(clock.nowMs());
        return crashRecords.reports(clock.nowMs());
    }

    /** Returns how many requests are quarantined. */
    public synchronized int quarantinedCount() {
        long nowMs = clock.nowMs();
        removeExpired(nowMs);
        return (int) crashRecords.requests().stream()
                .filter(request -> remainingQuarantineMs(crashRecords.find(request, nowMs), nowMs) > 0)
                .count();
    }
}
