package org.wingstall.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;
import org.wingstall.schema.peer.CrashTrial;

/**
 * Refuses requests that crash the endpoints that run them, and requests with a part of their prompts that does, on
 * whichever boxes they arrive. Thread-safe.
 *
 * <p>When the connection to an endpoint ends, every request that ran there becomes a suspect, and boxes merge the
 * losses that they observed. A request that was sent to an endpoint which was already lost does not. A complete
 * successful response on any box clears a request. A later complete response from the endpoint shows that only a
 * connection broke and withdraws that loss. After two losses a request is sent only as a trial: one box sends it at a
 * time, to an endpoint that runs no other trial and that new requests avoid, so that a third loss can be attributed
 * to it. After three losses the request is refused, for a time that doubles with each further loss; then it is sent
 * as a trial again. Parts of prompts are suspects of their own, see {@link PromptQuarantine}.
 *
 * <p>{@code quarantine.refusal(run::fingerprint).ifPresent(this::refuse);
 * quarantine.endpointLost(List.of(fingerprint), "i-7f3a@0", sentAtMs);}
 *
 * @since 0.7
 */
public final class Quarantine {
    /** Age after which a crash report has no effect and can be deleted, in ms: one day. */
    public static final long REPORT_RETENTION_MS = 86_400_000;

    /** Number of losses from which a suspect is quarantined. */
    static final int QUARANTINE_THRESHOLD = 3;

    /** Minimum time between two removals of expired entries, in ms: each one scans all entries. */
    private static final long EXPIRY_INTERVAL_MS = 1000;

    private final String boxId;
    private final MonotonicClock clock;
    private final Listener listener;
    private final CrashRecordStore crashRecords = new CrashRecordStore();
    private final TrialTable trials = new TrialTable();
    private final LostEndpoints lostEndpoints =
            new LostEndpoints(CrashRecordStore.SUSPICION_MS, RequestRule.INITIAL_HOLD_MS);
    private final Suspects suspects = new Suspects(crashRecords, trials);

    private long startedTrials;
    private long lastExpiryMs = Long.MIN_VALUE / 2;

    /** Whether there is neither a suspect nor a trial, which is the usual state: requests are not hashed then. */
    private volatile boolean idle = true;

    /** Receives the messages and changes that a quarantine produces. */
    public interface Listener {
        /** Sends a message to all linked boxes except the one that it came from, which may be null. */
        void broadcast(CrashNews news, String exceptBox);

        /** Sends reports of what this box has observed to all linked boxes. */
        default void broadcastObserved(CrashNews news) {
            broadcast(news, null);
        }

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

    private synchronized Optional<QuarantineRefusal> refusal(Fingerprint suspect) {
        return suspects.refusal(suspect, clock.nowMs());
    }

    /**
     * Returns the refusal for a request whose prompt has these parts, if it must not be sent now. Repeats of a request
     * that was lost before are no trials of its parts.
     */
    Optional<QuarantineRefusal> refusalOfParts(Supplier<Fingerprint> request, List<Fingerprint> parts) {
        return idle ? Optional.empty() : refusalOfParts(request.get(), parts);
    }

    private synchronized Optional<QuarantineRefusal> refusalOfParts(Fingerprint request, List<Fingerprint> parts) {
        boolean repeat = find(request).activeLossCount() > 0;
        long nowMs = clock.nowMs();
        return repeat ? suspects.refusalOfHeldParts(parts, nowMs) : suspects.refusalOfParts(parts, nowMs);
    }

    /** Returns whether a request is so suspect that it is sent only as a trial, to one endpoint at a time. */
    public boolean needsTrial(Supplier<Fingerprint> request) {
        return !idle && needsTrial(request.get());
    }

    private synchronized boolean needsTrial(Fingerprint suspect) {
        return suspects.needsTrial(suspect, clock.nowMs());
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
        if (!needsTrial(request)) {
            return Optional.empty();
        }
        String id = boxId + "/" + Long.toHexString(clock.nanoTime()) + "/" + startedTrials++;
        trials.start(request, id, endpoint, nowMs);
        listener.broadcast(CrashMessages.ofTrial(new CrashTrial(request.hex(), id, endpoint)), null);
        return Optional.of(id);
    }

    /** Ends a trial that this box started, whatever its result. */
    public synchronized void endTrial(Fingerprint request, String trialId) {
        CrashTrial ended = new CrashTrial(request.hex(), trialId, null);
        if (trials.apply(ended, clock.nowMs())) {
            listener.broadcast(CrashMessages.ofTrial(ended), null);
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
        if (mayHaveEnded(requests, endpoint, sentAtMs)) {
            observe(lossReports(requests, endpoint));
        }
    }

    /** Records a loss as above, of a request whose prompt has these parts, which may have caused it as well. */
    synchronized void endpointLost(Fingerprint request, List<Fingerprint> parts, String endpoint, long sentAtMs) {
        List<Fingerprint> requests = List.of(request);
        if (mayHaveEnded(requests, endpoint, sentAtMs)) {
            List<CrashReport> reports = new ArrayList<>(lossReports(requests, endpoint));
            reports.addAll(suspects.blame(request, parts, endpoint, sentAtMs, clock.nowMs()));
            observe(reports);
        }
    }

    /** Returns whether requests may have ended the endpoint at which they were lost. */
    private boolean mayHaveEnded(List<Fingerprint> requests, String endpoint, long sentAtMs) {
        boolean first = lostEndpoints.recordLoss(endpoint, sentAtMs, clock.nowMs());
        if (!first) {
            listener.lostAfterEnd(endpoint, requests.size());
        }
        return first;
    }

    private List<CrashReport> lossReports(List<Fingerprint> requests, String endpoint) {
        return requests.stream()
                .map(request -> find(request).lossReport(request, endpoint))
                .toList();
    }

    /** Records that an endpoint has answered a request with a part of prompts and goes on, which clears the part. */
    void partSurvived(Fingerprint part) {
        suspects.survivals().record(part, clock.nowMs());
        if (!idle) {
            lift(part);
        }
    }

    /** Returns whether a request has at least one loss that has not been withdrawn. */
    public boolean isSuspected(Supplier<Fingerprint> request) {
        return !idle && find(request.get()).activeLossCount() > 0;
    }

    private synchronized CrashRecord find(Fingerprint suspect) {
        return crashRecords.find(suspect, clock.nowMs());
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
            crashRecords.clearingReport(request, clock.nowMs()).ifPresent(cleared::add);
        }
        cleared.addAll(refutedLosses(endpoint, sentAtMs));
        observe(cleared);
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
        observe(refutedLosses(endpoint, sentAtMs));
    }

    /** Returns reports that withdraw the losses of an endpoint if a response shows that it did not end with them. */
    private List<CrashReport> refutedLosses(String endpoint, long sentAtMs) {
        boolean refuted = lostEndpoints.recordAnswer(endpoint, sentAtMs);
        return refuted ? crashRecords.withdrawalReports(endpoint, clock.nowMs()) : List.of();
    }

    /**
     * Clears a request that an operator found harmless, or that the endpoints can run by now; returns whether it had
     * active losses.
     */
    public synchronized boolean lift(Fingerprint request) {
        Optional<CrashReport> lifted = crashRecords.clearingReport(request, clock.nowMs());
        observe(lifted.stream().toList());
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
        CrashRecord known = find(new Fingerprint(stored.getFingerprint()));
        CrashRecord storedRecord = CrashRecord.EMPTY.merge(stored, clock.nowMs());
        if (known.containsMoreThan(storedRecord)) {
            listener.persist(known.toReport(new Fingerprint(stored.getFingerprint()), clock.nowMs()));
        }
    }

    private void observe(List<CrashReport> reports) {
        if (!reports.isEmpty()) {
            mergeReports(reports, null, true);
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
            if (crashRecords.find(request, nowMs).era() > report.getEra()) {
                // The sender has missed that the suspect was cleared, and its losses would never count.
                merged.add(crashRecords.find(request, nowMs).toReport(request, nowMs));
                senderIsUpToDate = false;
            } else if (added.isPresent()) {
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
        Consumer<CrashNews> sender =
                observedHere ? listener::broadcastObserved : one -> listener.broadcast(one, exceptBox);
        CrashMessages.ofReports(merged).forEach(sender);
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

    /** Returns all reports as messages for a box that has received none yet. */
    public synchronized List<CrashNews> snapshot() {
        return CrashMessages.ofReports(reports());
    }

    /** Returns all current reports, as shown to operators. */
    public synchronized List<CrashReport> reports() {
        long nowMs = clock.nowMs();
        removeExpiredPeriodically(nowMs);
        return crashRecords.reports(nowMs);
    }

    /** Returns how many requests are quarantined. */
    public int quarantinedRequests() {
        return quarantinedCount(false);
    }

    /** Returns how many parts of prompts are quarantined. */
    public int quarantinedParts() {
        return quarantinedCount(true);
    }

    private synchronized int quarantinedCount(boolean parts) {
        long nowMs = clock.nowMs();
        removeExpired(nowMs);
        return suspects.heldCount(parts, nowMs);
    }
}
