package org.wingstall.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.peer.CrashNews;
import org.wingstall.schema.peer.CrashReport;
import org.wingstall.schema.peer.CrashTrial;

/**
 * Decides when crash reports are sent on which links, so that a burst of losses takes one frame per link and interval.
 *
 * <p>Reports of a box's own losses go to the hubs, and reports that a hub forwards to other boxes, without delay, but on
 * each link at most one frame per {@link #FORWARDING_MS}. All other reports wait for that time, in which most of them
 * arrive over the same link and need not be sent. The second and third loss of a request are not held up by earlier frames: a
 * box that has not heard of them would send it as if it were harmless. Confined to the links' event loop.
 *
 * <p>{@code outbox.add(reports, "kgn-a-1", false); outbox.takeDue(linkedBoxes).forEach(batch -> links.send(batch));}
 *
 * @since 0.16
 */
public final class ReportOutbox {
    /** Time within which a report is forwarded, in ms; also the least time between two undelayed frames on a link. */
    static final long FORWARDING_MS = 50;

    private final String boxId;
    private final MonotonicClock clock;
    private final Predicate<String> hubs;
    private final Supplier<List<CrashReport>> knownReports;
    private final Map<Fingerprint, Pending> pending = new LinkedHashMap<>();
    private final Map<String, Opening> openings = new LinkedHashMap<>();
    private long forwardAtMs;
    private long undelayedFromMs = Long.MIN_VALUE;
    private long settledReports;

    /**
     * Reports for several boxes.
     *
     * @param news the reports
     * @param boxIds boxes to send them to
     */
    public record Batch(CrashNews news, List<String> boxIds) {}

    /** A report that some linked boxes have not got. */
    private static final class Pending {
        private final Fingerprint suspect;
        private final CrashRecord record;
        private final boolean observedHere;
        private final Set<String> informedBoxes = new HashSet<>();
        private boolean undelayed;
        private boolean urgent;

        Pending(Fingerprint suspect, CrashRecord record, boolean observedHere, boolean undelayed) {
            this.suspect = suspect;
            this.record = record;
            this.observedHere = observedHere;
            this.undelayed = undelayed;
        }
    }

    /** What a box has told since it opened a link, and when it is told what it lacks. */
    private record Opening(long answerAtMs, Map<Fingerprint, CrashRecord> told) {}

    /**
     * Creates an empty outbox.
     *
     * @param boxId name of this box
     * @param clock monotonic clock
     * @param hubs whether a box is a hub; where no box is one, the observer of a loss informs all linked boxes
     * @param knownReports supplies all current reports
     */
    public ReportOutbox(
            String boxId, MonotonicClock clock, Predicate<String> hubs, Supplier<List<CrashReport>> knownReports) {
        this.boxId = boxId;
        this.clock = clock;
        this.hubs = hubs;
        this.knownReports = knownReports;
    }

    /**
     * Adds reports to be sent to all linked boxes.
     *
     * @param reports the reports
     * @param exceptBox box that has told all that they contain; null for none
     * @param observedHere whether this box has observed what they report
     */
    public void add(List<CrashReport> reports, String exceptBox, boolean observedHere) {
        long nowMs = clock.nowMs();
        if (pending.isEmpty()) {
            forwardAtMs = nowMs + FORWARDING_MS;
        }
        boolean hub = hubs.test(boxId);
        for (CrashReport report : reports) {
            Fingerprint suspect = new Fingerprint(report.getFingerprint());
            Pending earlier = pending.get(suspect);
            CrashRecord record = (earlier == null ? CrashRecord.EMPTY : earlier.record).merge(report, nowMs);
            boolean observed = observedHere || earlier != null && earlier.observedHere && earlier.undelayed;
            Pending added = new Pending(suspect, record, observed, observed || hub);
            added.urgent = added.undelayed && isUrgent(suspect, record);
            if (exceptBox != null) {
                added.informedBoxes.add(exceptBox);
            }
            pending.put(suspect, added);
        }
    }

    /** From the loss after which a request is sent as a trial only to the one that quarantines it. */
    private static boolean isUrgent(Fingerprint suspect, CrashRecord record) {
        int losses = record.activeLossCount();
        return !suspect.isPart()
                && losses >= Quarantine.QUARANTINE_THRESHOLD - 1
                && losses <= Quarantine.QUARANTINE_THRESHOLD;
    }

    /** Records reports that arrived from a box, which need not be told what they contain. */
    public void arrived(String fromBox, List<CrashReport> reports) {
        Opening opening = openings.get(fromBox);
        if (pending.isEmpty() && opening == null) {
            return;
        }
        long nowMs = clock.nowMs();
        for (CrashReport report : reports) {
            Fingerprint suspect = new Fingerprint(report.getFingerprint());
            CrashRecord told = CrashRecord.EMPTY.merge(report, nowMs);
            Pending waiting = pending.get(suspect);
            if (waiting != null && !waiting.record.containsMoreThan(told) && waiting.informedBoxes.add(fromBox)) {
                settledReports++;
            }
            if (opening != null) {
                opening.told().merge(suspect, told, (before, after) -> before.merge(report, nowMs));
            }
        }
    }

    /**
     * Records a new link and returns the messages to send on it now. The box that dialed the link sends all its reports;
     * the other one waits for them, and then sends what they lack.
     */
    public List<CrashNews> linked(String box, boolean dialedHere) {
        if (!dialedHere) {
            openings.put(box, new Opening(clock.nowMs() + FORWARDING_MS, new HashMap<>()));
            return List.of();
        }
        openings.remove(box);
        pending.values().forEach(waiting -> waiting.informedBoxes.add(box));
        return CrashMessages.ofReports(knownReports.get());
    }

    /**
     * Adds the pending reports of suspects whose trials start, since a box that lacks them does not know that a trial is
     * needed.
     */
    public CrashNews withPendingReports(CrashNews trials, String exceptBox, Collection<String> linkedBoxes) {
        long nowMs = clock.nowMs();
        List<CrashReport> reports = new ArrayList<>();
        for (CrashTrial trial : trials.getTrials()) {
            Pending waiting = pending.get(new Fingerprint(trial.getFingerprint()));
            if (trial.getEndpoint() != null && waiting != null) {
                reports.add(waiting.record.toReport(waiting.suspect, nowMs));
                linkedBoxes.stream().filter(box -> !box.equals(exceptBox)).forEach(waiting.informedBoxes::add);
            }
        }
        return reports.isEmpty() ? trials : new CrashNews(reports, trials.getTrials());
    }

    /** Returns the time until {@link #takeDue} has something to send, in ms; empty while nothing waits. */
    public OptionalLong dueInMs() {
        long nowMs = clock.nowMs();
        long dueAtMs = Long.MAX_VALUE;
        if (!pending.isEmpty()) {
            dueAtMs = anyWaits(waiting -> waiting.undelayed) ? Math.min(forwardAtMs, undelayedFromMs) : forwardAtMs;
            dueAtMs = anyWaits(waiting -> waiting.urgent) ? nowMs : dueAtMs;
        }
        for (Opening opening : openings.values()) {
            dueAtMs = Math.min(dueAtMs, opening.answerAtMs());
        }
        return dueAtMs == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(Math.max(0, dueAtMs - nowMs));
    }

    private boolean anyWaits(Predicate<Pending> kind) {
        for (Pending waiting : pending.values()) {
            if (kind.test(waiting)) {
                return true;
            }
        }
        return false;
    }

    /** Removes and returns what is to be sent now; boxes without a link get all reports when it opens. */
    public List<Batch> takeDue(Collection<String> linkedBoxes) {
        long nowMs = clock.nowMs();
        List<Batch> due = new ArrayList<>();
        if (!pending.isEmpty()) {
            boolean undelayed = anyWaits(waiting -> waiting.undelayed);
            boolean noHubs = !hubs.test(boxId) && linkedBoxes.stream().noneMatch(hubs);
            if (nowMs >= forwardAtMs) {
                addBatches(due, linkedBoxes, (waiting, box) -> true, nowMs);
                pending.clear();
                undelayedFromMs = undelayed ? nowMs + FORWARDING_MS : undelayedFromMs;
            } else if (undelayed && nowMs >= undelayedFromMs) {
                addBatches(due, linkedBoxes, (waiting, box) -> isUndelayed(waiting, box, noHubs), nowMs);
                pending.values().forEach(waiting -> waiting.undelayed = false);
                undelayedFromMs = nowMs + FORWARDING_MS;
            } else {
                addBatches(
                        due, linkedBoxes, (waiting, box) -> waiting.urgent && isUndelayed(waiting, box, noHubs), nowMs);
            }
            pending.values().forEach(waiting -> waiting.urgent = false);
        }
        answerOpenings(due, nowMs);
        return due;
    }

    private boolean isUndelayed(Pending waiting, String box, boolean noHubs) {
        if (!waiting.undelayed) {
            return false;
        }
        return hubs.test(box) ? waiting.observedHere : hubs.test(boxId) || noHubs && waiting.observedHere;
    }

    /** Boxes that lack the same reports share a message, which is then encoded once. */
    private void addBatches(
            List<Batch> batches, Collection<String> linkedBoxes, BiPredicate<Pending, String> selected, long nowMs) {
        Map<List<Pending>, List<String>> boxesByReports = new LinkedHashMap<>();
        for (String box : linkedBoxes) {
            List<Pending> reports = new ArrayList<>();
            for (Pending waiting : pending.values()) {
                if (selected.test(waiting, box) && waiting.informedBoxes.add(box)) {
                    reports.add(waiting);
                }
            }
            if (!reports.isEmpty()) {
                boxesByReports
                        .computeIfAbsent(reports, same -> new ArrayList<>())
                        .add(box);
            }
        }
        boxesByReports.forEach((waiting, boxes) -> {
            List<CrashReport> reports = waiting.stream()
                    .map(one -> one.record.toReport(one.suspect, nowMs))
                    .toList();
            CrashMessages.ofReports(reports).forEach(news -> batches.add(new Batch(news, boxes)));
        });
    }

    private void answerOpenings(List<Batch> batches, long nowMs) {
        Iterator<Map.Entry<String, Opening>> entries = openings.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, Opening> entry = entries.next();
            if (nowMs >= entry.getValue().answerAtMs()) {
                entries.remove();
                List<CrashReport> lacking = knownReports.get().stream()
                        .filter(report -> lacks(entry.getValue().told(), report, nowMs))
                        .toList();
                CrashMessages.ofReports(lacking).forEach(news -> batches.add(new Batch(news, List.of(entry.getKey()))));
            }
        }
    }

    private static boolean lacks(Map<Fingerprint, CrashRecord> told, CrashReport report, long nowMs) {
        CrashRecord one = told.get(new Fingerprint(report.getFingerprint()));
        return one == null || CrashRecord.EMPTY.merge(report, nowMs).containsMoreThan(one);
    }

    /** Returns the number of reports that were not sent because they had arrived over the same link. */
    public long settledReports() {
        return settledReports;
    }
}
