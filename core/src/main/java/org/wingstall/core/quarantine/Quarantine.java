package org.wingstall.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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
 * losses that they observed. A complete successful response on any box clears a request. A later complete response from
 * the endpoint shows that only a connection broke and withdraws that loss. After two losses a request is sent only as a
 * trial: one box sends it at a time, to an endpoint that runs no other trial and that new requests avoid, so that a
 * third loss can be attributed to it. After three losses the request is refused, for a time that doubles with each
 * further loss; then it is sent as a trial again.
 *
 * <p>{@code quarantine.refusal(run::fingerprint).ifPresent(this::refuse);
 * quarantine.endpointLost(fingerprint, "i-7f3a@0");}
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

    /**
     * Time after which a trial is taken as ended although no end was received, in ms; crashes occur within a second
     * after a run starts.
     */
    private static final long TRIAL_TIMEOUT_MS = 5000;

    /** Time for which the end of a trial is remembered, in ms: far longer than a message takes to reach all boxes. */
    private static final long ENDED_TRIAL_RETENTION_MS = 60_000;

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
    private final Map<Fingerprint, Trial> trials = new HashMap<>();
    private final Map<String, Long> trialEndedAtMs = new HashMap<>();
    private final Map<String, Long> endpointLostAtMs = new HashMap<>();

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
    }

    /** A suspected request that a box has sent to an endpoint. */
    private record Trial(String id, String endpoint, long untilMs) {}

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
        if (needsTrial(record) && trials.containsKey(request)) {
            if (trials.get(request).untilMs() > nowMs) {
                String detail = "endpoints ended while they ran this request, and one tries it now";
                return Optional.of(new QuarantineRefusal(Reason.SUSPECT_ON_TRIAL, detail, TRIAL_RETRY_AFTER_MS));
            }
            trials.remove(request);
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

    /** Returns the endpoint incarnations that a request should avoid because another request is on trial there. */
    public Set<String> endpointsToAvoid(Supplier<Fingerprint> request) {
        return idle ? Set.of() : endpointsToAvoid(request.get());
    }

    private synchronized Set<String> endpointsToAvoid(Fingerprint request) {
        long nowMs = clock.nowMs();
        Set<String> avoided = new HashSet<>();
        trials.forEach((other, trial) -> {
            if (!other.equals(request) && trial.untilMs() > nowMs) {
                avoided.add(trial.endpoint());
            }
        });
        return avoided;
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
        trials.put(request, new Trial(id, endpoint, nowMs + TRIAL_TIMEOUT_MS));
        listener.broadcast(trialMessage(new CrashTrial(request.hex(), id, endpoint)), null);
        return Optional.of(id);
    }

    /** Ends a trial that this box started, whatever its result. */
    public synchronized void endTrial(Fingerprint request, String trialId) {
        CrashTrial ended = new CrashTrial(request.hex(), trialId, null);
        if (applyTrial(ended)) {
            listener.broadcast(trialMessage(ended), null);
        }
    }

    /** Records that the connection to an endpoint ended while the endpoint may have been running a request. */
    public void endpointLost(Fingerprint request, String endpoint) {
        endpointLost(List.of(request), endpoint);
    }

    /** Records that the connection to an endpoint ended while the endpoint may have been running several requests. */
    public synchronized void endpointLost(List<Fingerprint> requests, String endpoint) {
        endpointLostAtMs.put(endpoint, clock.nowMs());
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
        Long lostAtMs = endpointLostAtMs.get(endpoint);
        if (lostAtMs != null && sentAtMs > lostAtMs) {
            endpointLostAtMs.remove(endpoint);
            for (Fingerprint other : crashRecords.requestsLostWith(endpoint)) {
                cleared.add(new CrashReport(other.hex(), List.of(), List.of(endpoint), 0));
            }
        }
        if (!cleared.isEmpty()) {
            mergeReports(cleared, null, true);
        }
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
        mergeReports(news.getReports(), boxId, false);
        List<CrashTrial> newTrials = new ArrayList<>();
        for (CrashTrial trial : news.getTrials()) {
            if (applyTrial(trial)) {
                newTrials.add(trial);
            }
        }
        if (!newTrials.isEmpty()) {
            listener.broadcast(new CrashNews(List.of(), newTrials), boxId);
        }
    }

    /**
     * Applies the start or end of a trial and returns whether it was new. Each trial starts once and ends once, in
     * whatever order the messages arrive, so that boxes stop forwarding them.
     */
    private boolean applyTrial(CrashTrial received) {
        Fingerprint request = new Fingerprint(received.getFingerprint());
        Trial known = trials.get(request);
        boolean sameTrial = known != null && known.id().equals(received.getTrialId());
        if (received.getEndpoint() == null) {
            if (sameTrial) {
                trials.remove(request);
            }
            return trialEndedAtMs.put(received.getTrialId(), clock.nowMs()) == null;
        }
        if (sameTrial || trialEndedAtMs.containsKey(received.getTrialId())) {
            return false;
        }
        trials.put(request, new Trial(received.getTrialId(), received.getEndpoint(), clock.nowMs() + TRIAL_TIMEOUT_MS));
        idle = false;
        return true;
    }

    /** Merges a report read from the store; if it lacks losses that are known here, writes the merged report back. */
    public synchronized void mergeStored(CrashReport stored) {
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
            endpointLostAtMs.values().removeIf(atMs -> nowMs - atMs >= INITIAL_QUARANTINE_MS);
            trialEndedAtMs.values().removeIf(atMs -> nowMs - atMs >= ENDED_TRIAL_RETENTION_MS);
            removeExpired(nowMs);
        }
    }

    private void removeExpired(long nowMs) {
        crashRecords.removeExpired(nowMs);
        trials.values().removeIf(trial -> trial.untilMs() <= nowMs);
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
