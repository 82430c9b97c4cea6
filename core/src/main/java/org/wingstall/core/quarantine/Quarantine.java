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
 * Holds back requests that crash the endpoints that run them, whichever boxes they come to. Safe for use on any thread.
 *
 * <p>Every request that ran on an endpoint when it ended is suspected, and boxes add up what they saw. A whole answer
 * anywhere clears a request, and a whole answer of the endpoint shows that only a connection broke. After two losses a
 * request is on trial: one box sends it at a time, to an endpoint that no other suspect is tried on and that new work stays
 * away from, so that the third loss convicts the one that ran there. After three it is refused, for a time that doubles with
 * each further loss; then it is on trial again.
 *
 * <p>{@code quarantine.hold(run::fingerprint).ifPresent(this::refuse); ... quarantine.lost(fingerprint, "i-7f3a@0");}
 *
 * @since 0.7
 */
public final class Quarantine {
    /** Age from which a report is of no use to anybody, in ms: a day. */
    public static final long REPORT_RETENTION_MS = 86_400_000;

    /** Losses from which a request is held back. */
    static final int QUARANTINE_THRESHOLD = 3;

    /** Time for which a request is held back after its third loss, in ms; operators who mend it earlier lift it. */
    private static final long INITIAL_QUARANTINE_MS = 600_000;

    /** Doublings of that time, one for each further loss: up to ten hours. */
    private static final int MAX_DOUBLINGS = 6;

    /** Time for which a trial counts when no end of it is heard, in ms; crashes come within a second of a run's begin. */
    private static final long TRIAL_TIMEOUT_MS = 5000;

    /** Time for which the end of a trial is remembered, in ms: far longer than news is under way. */
    private static final long ENDED_TRIAL_RETENTION_MS = 60_000;

    /** When to come back while another box tries the same request, in ms. */
    private static final long TRIAL_RETRY_AFTER_MS = 1000;

    /** Pause between two looks for what has expired, in ms: a look goes over all that is remembered. */
    private static final long EXPIRY_INTERVAL_MS = 1000;

    /** Reports in one message; bounds a frame to some ten KB. */
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

    /** Whether nothing is suspected, as on most days: requests are not even hashed then. */
    private volatile boolean idle = true;

    /** Passes on what this box learns. */
    public interface Listener {
        /** Tells all linked boxes, but for the one that it was heard from, which may be null. */
        void broadcast(CrashNews news, String exceptBox);

        /** Keeps a report where it outlives all boxes and reaches those without a link. */
        void persist(CrashReport report);

        /** Records that a request is suspected, held back or cleared. */
        void changed(CrashReport report, int standing);
    }

    /** A suspected request that some box has sent. */
    private record Trial(String id, String endpoint, long untilMs) {}

    /**
     * Creates a quarantine that holds nothing back.
     *
     * @param boxId name of this box
     * @param clock monotonic clock
     * @param listener passes on what this box learns
     */
    public Quarantine(String boxId, MonotonicClock clock, Listener listener) {
        this.boxId = boxId;
        this.clock = clock;
        this.listener = listener;
    }

    /** Returns why a request is not to be sent now; hashed only while something is suspected. */
    public Optional<QuarantineRefusal> refusal(Supplier<Fingerprint> request) {
        return idle ? Optional.empty() : refusal(request.get());
    }

    private synchronized Optional<QuarantineRefusal> refusal(Fingerprint request) {
        long nowMs = clock.nowMs();
        CrashRecord record = crashRecords.find(request, nowMs);
        long leftMs = remainingQuarantineMs(record, nowMs);
        if (leftMs > 0) {
            String detail = record.activeLossCount() + " endpoints ended while they ran this request";
            return Optional.of(new QuarantineRefusal(Reason.QUARANTINED, detail, leftMs));
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
        int standing = record.activeLossCount();
        if (standing < QUARANTINE_THRESHOLD) {
            return 0;
        }
        // A full record would not show what a further trial ended, so there is none.
        long holdMs = record.isFull()
                ? REPORT_RETENTION_MS
                : INITIAL_QUARANTINE_MS << Math.min(MAX_DOUBLINGS, standing - QUARANTINE_THRESHOLD);
        return Math.max(0, record.lastLossAtMs() + holdMs - nowMs);
    }

    private static boolean needsTrial(CrashRecord record) {
        return record.activeLossCount() >= QUARANTINE_THRESHOLD - 1;
    }

    /** Returns the incarnations that a request had better not go to, since another one is on trial there. */
    public Set<String> endpointsToAvoid(Supplier<Fingerprint> request) {
        return idle ? Set.of() : endpointsToAvoid(request.get());
    }

    private synchronized Set<String> endpointsToAvoid(Fingerprint request) {
        long nowMs = clock.nowMs();
        Set<String> shunned = new HashSet<>();
        trials.forEach((other, trial) -> {
            if (!other.equals(request) && trial.untilMs() > nowMs) {
                shunned.add(trial.endpoint());
            }
        });
        return shunned;
    }

    /**
     * Records that a request is sent to an endpoint.
     *
     * @return the trial that it is on there, which whoever sent it ends by {@link #endTrial}; empty for one that is not suspected
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

    /** Records that a trial of this box has ended, in whatever way. */
    public synchronized void endTrial(Fingerprint request, String trialId) {
        CrashTrial over = new CrashTrial(request.hex(), trialId, null);
        if (applyTrial(over)) {
            listener.broadcast(trialMessage(over), null);
        }
    }

    /** Records that the connection to an endpoint ended while it may have run a request. */
    public void endpointLost(Fingerprint request, String endpoint) {
        endpointLost(List.of(request), endpoint);
    }

    /** Records that the connection to an endpoint ended while it may have run some requests. */
    public synchronized void endpointLost(List<Fingerprint> requests, String endpoint) {
        endpointLostAtMs.put(endpoint, clock.nowMs());
        List<CrashReport> reports = requests.stream()
                .map(request -> new CrashReport(request.hex(), List.of(endpoint), List.of(), 0))
                .toList();
        mergeReports(reports, null, true);
    }

    /** Returns whether an endpoint ended under a request that has not been cleared since. */
    public boolean isSuspected(Supplier<Fingerprint> request) {
        return !idle && activeLossCount(request.get()) > 0;
    }

    private synchronized int activeLossCount(Fingerprint request) {
        return crashRecords.find(request, clock.nowMs()).activeLossCount();
    }

    /**
     * Records a whole answer: the endpoint was there after the request was sent. A success clears the request as well;
     * a failure may come without a run.
     *
     * @param request the request
     * @param endpoint the endpoint
     * @param sentAtMs when the request was sent there, in ms of the monotonic clock
     * @param success whether the answer is a success
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
        Long endedMs = endpointLostAtMs.get(endpoint);
        if (endedMs != null && sentAtMs > endedMs) {
            endpointLostAtMs.remove(endpoint);
            for (Fingerprint other : crashRecords.requestsLostWith(endpoint)) {
                cleared.add(new CrashReport(other.hex(), List.of(), List.of(endpoint), 0));
            }
        }
        if (!cleared.isEmpty()) {
            mergeReports(cleared, null, true);
        }
    }

    /** Returns a report that withdraws all losses under a request, if some stand. */
    private Optional<CrashReport> clearingReport(Fingerprint request) {
        CrashRecord record = crashRecords.find(request, clock.nowMs());
        return record.activeLossCount() == 0
                ? Optional.empty()
                : Optional.of(new CrashReport(request.hex(), List.of(), List.copyOf(record.losses()), 0));
    }

    /** Lets a request through again that an operator has found harmless, or whose endpoints bear it now. */
    public synchronized boolean lift(Fingerprint request) {
        Optional<CrashReport> lifted = clearingReport(request);
        lifted.ifPresent(report -> mergeReports(List.of(report), null, true));
        return lifted.isPresent();
    }

    /** Takes in what another box tells; what is new goes on to the others. */
    public synchronized void receive(String boxId, CrashNews news) {
        mergeReports(news.getReports(), boxId, false);
        List<CrashTrial> changed = new ArrayList<>();
        for (CrashTrial trial : news.getTrials()) {
            if (applyTrial(trial)) {
                changed.add(trial);
            }
        }
        if (!changed.isEmpty()) {
            listener.broadcast(new CrashNews(List.of(), changed), boxId);
        }
    }

    /** A trial begins once and ends once, in whatever order that is heard, so that news of it comes to rest. */
    private boolean applyTrial(CrashTrial told) {
        Fingerprint request = new Fingerprint(told.getFingerprint());
        Trial known = trials.get(request);
        boolean same = known != null && known.id().equals(told.getTrialId());
        if (told.getEndpoint() == null) {
            if (same) {
                trials.remove(request);
            }
            return trialEndedAtMs.put(told.getTrialId(), clock.nowMs()) == null;
        }
        if (same || trialEndedAtMs.containsKey(told.getTrialId())) {
            return false;
        }
        trials.put(request, new Trial(told.getTrialId(), told.getEndpoint(), clock.nowMs() + TRIAL_TIMEOUT_MS));
        idle = false;
        return true;
    }

    /** Takes in a report that was kept; one that lacks losses known here is kept anew with all of them. */
    public synchronized void mergeStored(CrashReport kept) {
        mergeReports(List.of(kept), null, false);
        CrashRecord known = crashRecords.find(new Fingerprint(kept.getFingerprint()), clock.nowMs());
        CrashRecord row = CrashRecord.EMPTY.merge(kept, clock.nowMs());
        if (known.containsMoreThan(row)) {
            listener.persist(known.toReport(new Fingerprint(kept.getFingerprint()), clock.nowMs()));
        }
    }

    private void mergeReports(List<CrashReport> reports, String fromBox, boolean own) {
        long nowMs = clock.nowMs();
        removeExpiredPeriodically(nowMs);
        List<CrashReport> news = new ArrayList<>();
        boolean senderKnows = true;
        for (CrashReport report : reports) {
            Fingerprint request = new Fingerprint(report.getFingerprint());
            boolean keptBefore = crashRecords.find(request, nowMs).activeLossCount() >= QUARANTINE_THRESHOLD;
            Optional<CrashReport> added = crashRecords.add(report, nowMs);
            if (added.isPresent()) {
                CrashRecord known = crashRecords.find(request, nowMs);
                news.add(added.get());
                senderKnows &= !known.containsMoreThan(CrashRecord.EMPTY.merge(report, nowMs));
                listener.changed(added.get(), known.activeLossCount());
                // Each row that is kept wakes every box: of two losses, which a few broken connections bring about,
                // none is.
                if (own && (keptBefore || known.activeLossCount() >= QUARANTINE_THRESHOLD)) {
                    listener.persist(added.get());
                }
            }
        }
        idle = crashRecords.isEmpty() && trials.isEmpty();
        String exceptBox = senderKnows ? fromBox : null;
        toMessages(news).forEach(message -> listener.broadcast(message, exceptBox));
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

    /** Returns all that a box without news needs. */
    public synchronized List<CrashNews> snapshot() {
        return toMessages(reports());
    }

    /** Returns all reports, for operators. */
    public synchronized List<CrashReport> reports() {
        removeExpired(clock.nowMs());
        return crashRecords.reports(clock.nowMs());
    }

    /** Returns how many requests are held back. */
    public synchronized int quarantinedCount() {
        long nowMs = clock.nowMs();
        removeExpired(nowMs);
        return (int) crashRecords.requests().stream()
                .filter(request -> remainingQuarantineMs(crashRecords.find(request, nowMs), nowMs) > 0)
                .count();
    }
}
