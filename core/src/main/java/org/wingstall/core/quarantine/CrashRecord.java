package org.wingstall.core.quarantine;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.wingstall.schema.peer.CrashReport;

/**
 * Holds the endpoints that were lost while they ran one request. Boxes that merge the same reports in any order get the
 * same record: both sets only grow, and a withdrawn loss stays withdrawn.
 *
 * @param losses endpoint incarnations that were lost while they ran the request
 * @param withdrawn incarnations whose loss was withdrawn, because it was wrong or the request was cleared
 * @param lastLossAtMs when the most recent loss was observed, in ms of the monotonic clock
 */
record CrashRecord(Set<String> losses, Set<String> withdrawn, long lastLossAtMs) {
    /** Maximum number of incarnations in each set: several times the losses that cause a quarantine. */
    private static final int MAX_INCARNATIONS = 32;

    static final CrashRecord EMPTY = new CrashRecord(Set.of(), Set.of(), Long.MIN_VALUE / 2);

    /** Returns this record merged with the losses and the withdrawn losses of a report. */
    CrashRecord merge(CrashReport report, long nowMs) {
        Set<String> allLosses = union(losses, report.getLosses());
        // A report that only withdraws losses does not say when they occurred.
        long reportedAtMs = report.getLosses().isEmpty() ? lastLossAtMs : nowMs - report.getAgeMs();
        return new CrashRecord(
                allLosses, union(withdrawn, report.getWithdrawn()), Math.max(lastLossAtMs, reportedAtMs));
    }

    /**
     * Returns the union; a full set accepts no more entries. If it evicted old ones, boxes that evicted different
     * entries would keep sending them to each other forever.
     */
    private static Set<String> union(Set<String> known, Collection<String> more) {
        Set<String> all = new LinkedHashSet<>(known);
        more.stream().filter(incarnation -> all.size() < MAX_INCARNATIONS).forEach(all::add);
        return all;
    }

    /** Returns the number of losses that have not been withdrawn. */
    int activeLossCount() {
        int count = 0;
        for (String incarnation : losses) {
            if (!withdrawn.contains(incarnation)) {
                count++;
            }
        }
        return count;
    }

    /** Returns whether the record can store no more losses. */
    boolean isFull() {
        return losses.size() >= MAX_INCARNATIONS;
    }

    boolean containsMoreThan(CrashRecord other) {
        return !other.losses.containsAll(losses) || !other.withdrawn.containsAll(withdrawn);
    }

    CrashReport toReport(Fingerprint request, long nowMs) {
        return new CrashReport(
                request.hex(), List.copyOf(losses), List.copyOf(withdrawn), Math.max(0, nowMs - lastLossAtMs));
    }
}
