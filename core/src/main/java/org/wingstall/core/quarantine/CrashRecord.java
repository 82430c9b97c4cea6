package org.wingstall.core.quarantine;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.wingstall.schema.peer.CrashReport;

/**
 * Holds the endpoints that were lost while they ran one suspect. Boxes that merge the same reports in any order get the
 * same record: a later era replaces earlier ones, and within an era the sets only grow.
 *
 * @param era number of times that the suspect was cleared
 * @param losses endpoint incarnations that were lost while they ran the suspect
 * @param withdrawn incarnations whose loss does not count, because it was wrong or was observed before the suspect was
 * cleared
 * @param requests different requests among the lost ones, as far as the rule needs them; empty for a request
 * @param rounds losses of a part that followed each other: endpoints that end together at several boxes are one round; 0
 * for a request
 * @param lastLossAtMs when the most recent loss was observed, or the era began, in ms of the monotonic clock
 */
record CrashRecord(
        long era, Set<String> losses, Set<String> withdrawn, Set<String> requests, int rounds, long lastLossAtMs) {
    /** Maximum number of incarnations in each set: several times the losses that cause a quarantine. */
    private static final int MAX_INCARNATIONS = 32;

    /** Two requests are enough to tell that what they share is lost rather than one of them. */
    private static final int MAX_REQUESTS = 2;

    static final CrashRecord EMPTY = new CrashRecord(0, Set.of(), Set.of(), Set.of(), 0, Long.MIN_VALUE / 2);

    /** Returns this record merged with the losses and the withdrawn losses of a report. */
    CrashRecord merge(CrashReport report, long nowMs) {
        if (report.getEra() < era) {
            return this;
        }
        CrashRecord base = report.getEra() == era
                ? this
                : new CrashRecord(report.getEra(), Set.of(), Set.of(), Set.of(), 0, lastLossAtMs);
        // A report that only withdraws losses does not say when they occurred.
        boolean withdraws = report.getLosses().isEmpty() && report.getEra() == era;
        long reportedAtMs = withdraws ? lastLossAtMs : nowMs - report.getAgeMs();
        return new CrashRecord(
                base.era,
                union(base.losses, report.getLosses(), MAX_INCARNATIONS),
                union(base.withdrawn, report.getWithdrawn(), MAX_INCARNATIONS),
                union(base.requests, requestsOf(report), MAX_REQUESTS),
                Math.max(base.rounds, report.getRounds()),
                Math.max(lastLossAtMs, reportedAtMs));
    }

    /** Boxes with earlier software report no requests. */
    private static List<String> requestsOf(CrashReport report) {
        return report.getRequests() == null ? List.of() : report.getRequests();
    }

    /**
     * Returns the union; a full set accepts no more entries. If it evicted old ones, boxes that evicted different
     * entries would keep sending them to each other forever.
     */
    private static Set<String> union(Set<String> known, Collection<String> more, int maxSize) {
        Set<String> all = new LinkedHashSet<>(known);
        more.stream().filter(entry -> all.size() < maxSize).forEach(all::add);
        return all;
    }

    /** Returns this record without some losses. */
    CrashRecord without(Set<String> incarnations) {
        Set<String> others = new LinkedHashSet<>(losses);
        others.removeAll(incarnations);
        return new CrashRecord(era, others, withdrawn, requests, rounds, lastLossAtMs);
    }

    /** Returns the losses that have not been withdrawn. */
    Set<String> activeLosses() {
        Set<String> active = new LinkedHashSet<>(losses);
        active.removeAll(withdrawn);
        return active;
    }

    /**
     * Returns the number of losses that have not been withdrawn; of a part, only of those that followed each other, and
     * one at most while a single request was lost, since its repeats say nothing of its parts.
     */
    int activeLossCount() {
        int active = 0;
        for (String loss : losses) {
            active += withdrawn.contains(loss) ? 0 : 1;
        }
        if (rounds == 0) {
            return active;
        }
        return Math.min(active, requests.size() < MAX_REQUESTS ? 1 : rounds);
    }

    boolean moreSuspiciousThan(CrashRecord other) {
        int more = activeLossCount() - other.activeLossCount();
        return more > 0 || more == 0 && lastLossAtMs < other.lastLossAtMs;
    }

    /** Returns whether the record can store no more losses. */
    boolean isFull() {
        return losses.size() >= MAX_INCARNATIONS;
    }

    boolean containsMoreThan(CrashRecord other) {
        if (era != other.era) {
            return era > other.era;
        }
        return !other.losses.containsAll(losses)
                || !other.withdrawn.containsAll(withdrawn)
                || other.requests.size() < requests.size()
                || other.rounds < rounds;
    }

    CrashReport toReport(Fingerprint suspect, long nowMs) {
        return new CrashReport(
                suspect.hex(),
                List.copyOf(losses),
                List.copyOf(withdrawn),
                Math.max(0, nowMs - lastLossAtMs),
                era,
                List.copyOf(requests),
                rounds);
    }

    /** Returns a report that an endpoint was lost while it ran a request. */
    CrashReport lossReport(Fingerprint request, String endpoint) {
        return new CrashReport(request.hex(), List.of(endpoint), List.of(), 0, era, List.of(), 0);
    }

    /** Returns a report that an endpoint was lost with a request that was sent after all known losses of the part. */
    CrashReport nextLossReport(Fingerprint part, Fingerprint request, String endpoint) {
        return new CrashReport(part.hex(), List.of(endpoint), List.of(), 0, era, List.of(request.hex()), rounds + 1);
    }

    /** Returns a report that an endpoint was lost with a request that was sent before the last known loss of the part. */
    CrashReport sameRoundReport(Fingerprint part, Fingerprint request, String endpoint, long nowMs) {
        return new CrashReport(
                part.hex(), List.of(endpoint), List.of(), nowMs - lastLossAtMs, era, List.of(request.hex()), rounds);
    }

    /** Returns a report that withdraws the loss of an endpoint. */
    CrashReport withdrawalReport(Fingerprint suspect, String endpoint) {
        return new CrashReport(suspect.hex(), List.of(), List.of(endpoint), 0, era, List.of(), 0);
    }

    /** Returns a report that begins an era without losses; those of this era stay withdrawn, should they be reported late. */
    CrashReport clearingReport(Fingerprint suspect) {
        return new CrashReport(suspect.hex(), List.of(), List.copyOf(losses), 0, era + 1, List.of(), 0);
    }
}
