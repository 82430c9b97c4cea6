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
    public static final long FORGET_MS = 86_400_000;

    /** Losses from which a request is held back. */
    static final int LOSSES = 3;

    /** Time for which a request is held back after its third loss, in ms; operators who mend it earlier lift it. */
    private static final long HOLD_MS = 600_000;

    /** Doublings of that time, one for each further loss: up to ten hours. */
    private static final int MOST_DOUBLINGS = 6;

    /** Time for which a trial counts when no end of it is heard, in ms; crashes come within a second of a run's begin. */
    private static final long TRIAL_MS = 5000;

    /** Time for which the end of a trial is remembered, in ms: far longer than news is under way. */
    private static final long TRIAL_REMEMBERED_MS = 60_000;

    /** When to come back while another box tries the same request, in ms. */
    private static final long TRIAL_AGAIN_MS = 1000;

    /** Pause between two looks for what has expired, in ms: a look goes over all that is remembered. */
    private static final long DROP_MS = 1000;

    /** Reports in one message; bounds a frame to some ten KB. */
    private static final int REPORTS_A_MESSAGE = 100;

    private final String boxId;
    private final MonotonicClock clock;
    private final Listener listener;
    private final CrashLedger ledger = new CrashLedger();
    private final Map<Fingerprint, Trial> trials = new HashMap<>();
    private final Map<String, Long> overAtMs = new HashMap<>();
    private final Map<String, Long> endedAtMs = new HashMap<>();

    private long trialsBegun;
    private long droppedAtMs = Long.MIN_VALUE / 2;

    /** Whether nothing is suspected, as on most days: requests are not even hashed then. */
    private volatile boolean idle = true;

    /** Passes on what this box learns. */
    public interface Listener {
        /** Tells all linked boxes, but for the one that it was heard from, which may be null. */
        void tell(CrashNews news, String exceptBox);

        /** Keeps a report where it outlives all boxes and reaches those without a link. */
        void keep(CrashReport report);

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
    public Optional<Hold> hold(Supplier<Fingerprint> request) {
        return idle ? Optional.empty() : hold(request.get());
    }

    private synchronized Optional<Hold> hold(Fingerprint request) {
        long nowMs = clock.nowMs();
        CrashRecord record = ledger.find(request, nowMs);
        long leftMs = heldForMs(record, nowMs);
        if (leftMs > 0) {
            String detail = record.standing() + " endpoints ended while they ran this request";
            return Optional.of(new Hold(Reason.QUARANTINED, detail, leftMs));
        }
        if (suspected(record) && trials.containsKey(request)) {
            if (trials.get(request).untilMs() > nowMs) {
                String detail = "endpoints ended while they ran this request, and one tries it now";
                return Optional.of(new Hold(Reason.SUSPECT_ON_TRIAL, detail, TRIAL_AGAIN_MS));
            }
            trials.remove(request);
        }
        return Optional.empty();
    }

    private static long heldForMs(CrashRecord record, long nowMs) {
        int standing = record.standing();
        if (standing < LOSSES) {
            return 0;
        }
        // A full record would not show what a further trial ended, so there is none.
        long holdMs = record.full() ? FORGET_MS : HOLD_MS << Math.min(MOST_DOUBLINGS, standing - LOSSES);
        return Math.max(0, record.lastAtMs() + holdMs - nowMs);
    }

    private static boolean suspected(CrashRecord record) {
        return record.standing() >= LOSSES - 1;
    }

    /** Returns the incarnations that a request had better not go to, since another one is on trial there. */
    public Set<String> shunned(Supplier<Fingerprint> request) {
        return idle ? Set.of() : shunned(request.get());
    }

    private synchronized Set<String> shunned(Fingerprint request) {
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
     * @return the trial that it is on there, which whoever sent it ends by {@link #over}; empty for one that is not suspected
     */
    public Optional<String> sent(Supplier<Fingerprint> request, String endpoint) {
        return idle ? Optional.empty() : sent(request.get(), endpoint);
    }

    private synchronized Optional<String> sent(Fingerprint request, String endpoint) {
        long nowMs = clock.nowMs();
        if (!suspected(ledger.find(request, nowMs))) {
            return Optional.empty();
        }
        String id = boxId + "/" + Long.toHexString(clock.nanoTime()) + "/" + trialsBegun++;
        trials.put(request, new Trial(id, endpoint, nowMs + TRIAL_MS));
        listener.tell(news(new CrashTrial(request.hex(), id, endpoint)), null);
        return Optional.of(id);
    }

    /** Records that a trial of this box has ended, in whatever way. */
    public synchronized void over(Fingerprint request, String trialId) {
        CrashTrial over = new CrashTrial(request.hex(), trialId, null);
        if (trialChanged(over)) {
            listener.tell(news(over), null);
        }
    }

    /** Records that the connection to an endpoint ended while it may have run a request. */
    public void lost(Fingerprint request, String endpoint) {
        lost(List.of(request), endpoint);
    }

    /** Records that the connection to an endpoint ended while it may have run some requests. */
    public synchronized void lost(List<Fingerprint> requests, String endpoint) {
        endedAtMs.put(endpoint, clock.nowMs());
        List<CrashReport> reports = requests.stream()
                .map(request -> new CrashReport(request.hex(), List.of(endpoint), List.of(), 0))
                .toList();
        learn(reports, null, true);
    }

    /** Returns whether an endpoint ended under a request that has not been cleared since. */
    public boolean suspects(Supplier<Fingerprint> request) {
        return !idle && standing(request.get()) > 0;
    }

    private synchronized int standing(Fingerprint request) {
        return ledger.find(request, clock.nowMs()).standing();
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
            clearing(request).ifPresent(cleared::add);
        }
        Long endedMs = endedAtMs.get(endpoint);
        if (endedMs != null && sentAtMs > endedMs) {
            endedAtMs.remove(endpoint);
            for (Fingerprint other : ledger.lostWith(endpoint)) {
                cleared.add(new CrashReport(other.hex(), List.of(), List.of(endpoint), 0));
            }
        }
        if (!cleared.isEmpty()) {
            learn(cleared, null, true);
        }
    }

    /** Returns a report that withdraws all losses under a request, if some stand. */
    private Optional<CrashReport> clearing(Fingerprint request) {
        CrashRecord record = ledger.find(request, clock.nowMs());
        return record.standing() == 0
                ? Optional.empty()
                : Optional.of(new CrashReport(request.hex(), List.of(), List.copyOf(record.losses()), 0));
    }

    /** Lets a request through again that an operator has found harmless, or whose endpoints bear it now. */
    public synchronized boolean lift(Fingerprint request) {
        Optional<CrashReport> lifted = clearing(request);
        lifted.ifPresent(report -> learn(List.of(report), null, true));
        return lifted.isPresent();
    }

    /** Takes in what another box tells; what is new goes on to the others. */
    public synchronized void heard(String boxId, CrashNews news) {
        learn(news.getReports(), boxId, false);
        List<CrashTrial> changed = new ArrayList<>();
        for (CrashTrial trial : news.getTrials()) {
            if (trialChanged(trial)) {
                changed.add(trial);
            }
        }
        if (!changed.isEmpty()) {
            listener.tell(new CrashNews(List.of(), changed), boxId);
        }
    }

    /** A trial begins once and ends once, in whatever order that is heard, so that news of it comes to rest. */
    private boolean trialChanged(CrashTrial told) {
        Fingerprint request = new Fingerprint(told.getFingerprint());
        Trial known = trials.get(request);
        boolean same = known != null && known.id().equals(told.getTrialId());
        if (told.getEndpoint() == null) {
            if (same) {
                trials.remove(request);
            }
            return overAtMs.put(told.getTrialId(), clock.nowMs()) == null;
        }
        if (same || overAtMs.containsKey(told.getTrialId())) {
            return false;
        }
        trials.put(request, new Trial(told.getTrialId(), told.getEndpoint(), clock.nowMs() + TRIAL_MS));
        idle = false;
        return true;
    }

    /** Takes in a report that was kept; one that lacks losses known here is kept anew with all of them. */
    public synchronized void read(CrashReport kept) {
        learn(List.of(kept), null, false);
        CrashRecord known = ledger.find(new Fingerprint(kept.getFingerprint()), clock.nowMs());
        CrashRecord row = CrashRecord.NONE.plus(kept, clock.nowMs());
        if (known.saysMoreThan(row)) {
            listener.keep(known.report(new Fingerprint(kept.getFingerprint()), clock.nowMs()));
        }
    }

    private void learn(List<CrashReport> reports, String fromBox, boolean own) {
        long nowMs = clock.nowMs();
        dropExpiredNowAndThen(nowMs);
        List<CrashReport> news = new ArrayList<>();
        boolean senderKnows = true;
        for (CrashReport report : reports) {
            Fingerprint request = new Fingerprint(report.getFingerprint());
            boolean keptBefore = ledger.find(request, nowMs).standing() >= LOSSES;
            Optional<CrashReport> added = ledger.add(report, nowMs);
            if (added.isPresent()) {
                CrashRecord known = ledger.find(request, nowMs);
                news.add(added.get());
                senderKnows &= !known.saysMoreThan(CrashRecord.NONE.plus(report, nowMs));
                listener.changed(added.get(), known.standing());
                // Each row that is kept wakes every box: of two losses, which a few broken connections bring about,
                // none is.
                if (own && (keptBefore || known.standing() >= LOSSES)) {
                    listener.keep(added.get());
                }
            }
        }
        idle = ledger.isEmpty() && trials.isEmpty();
        String exceptBox = senderKnows ? fromBox : null;
        messages(news).forEach(message -> listener.tell(message, exceptBox));
    }

    private void dropExpiredNowAndThen(long nowMs) {
        if (nowMs - droppedAtMs >= DROP_MS) {
            droppedAtMs = nowMs;
            endedAtMs.values().removeIf(atMs -> nowMs - atMs >= HOLD_MS);
            overAtMs.values().removeIf(atMs -> nowMs - atMs >= TRIAL_REMEMBERED_MS);
            dropExpired(nowMs);
        }
    }

    private void dropExpired(long nowMs) {
        ledger.dropExpired(nowMs);
        trials.values().removeIf(trial -> trial.untilMs() <= nowMs);
        idle = ledger.isEmpty() && trials.isEmpty();
    }

    private static CrashNews news(CrashTrial trial) {
        return new CrashNews(List.of(), List.of(trial));
    }

    private static List<CrashNews> messages(List<CrashReport> reports) {
        List<CrashNews> messages = new ArrayList<>();
        for (int from = 0; from < reports.size(); from += REPORTS_A_MESSAGE) {
            int to = Math.min(reports.size(), from + REPORTS_A_MESSAGE);
            messages.add(new CrashNews(reports.subList(from, to), List.of()));
        }
        return messages;
    }

    /** Returns all that a box without news needs. */
    public synchronized List<CrashNews> known() {
        return messages(reports());
    }

    /** Returns all reports, for operators. */
    public synchronized List<CrashReport> reports() {
        dropExpired(clock.nowMs());
        return ledger.reports(clock.nowMs());
    }

    /** Returns how many requests are held back. */
    public synchronized int heldBack() {
        long nowMs = clock.nowMs();
        dropExpired(nowMs);
        return (int) ledger.requests().stream()
                .filter(request -> heldForMs(ledger.find(request, nowMs), nowMs) > 0)
                .count();
    }
}
