package org.wingstall.core.quarantine;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.wingstall.schema.peer.CrashReport;

/**
 * The endpoints that ended under one request. Records of several boxes add up to the same one in whatever order they come: sets
 * only grow, and what was withdrawn stays so.
 *
 * @param losses incarnations that ended under it
 * @param withdrawn incarnations of which that turned out wrong
 * @param lastAtMs when the last loss became known, in ms of the monotonic clock
 */
record CrashRecord(Set<String> losses, Set<String> withdrawn, long lastLossAtMs) {
    /** Incarnations that a record keeps: several times the losses that decide. */
    private static final int MAX_INCARNATIONS = 32;

    static final CrashRecord EMPTY = new CrashRecord(Set.of(), Set.of(), Long.MIN_VALUE / 2);

    /** Returns a record with the losses that a report adds, and without those that it withdraws. */
    CrashRecord merge(CrashReport report, long nowMs) {
        Set<String> allLosses = union(losses, report.getLosses());
        // A report that only withdraws losses says nothing of when they came.
        long reportedAtMs = report.getLosses().isEmpty() ? lastLossAtMs : nowMs - report.getAgeMs();
        return new CrashRecord(
                allLosses, union(withdrawn, report.getWithdrawn()), Math.max(lastLossAtMs, reportedAtMs));
    }

    /** A full set takes no more: if older ones gave way, boxes that dropped different ones would tell each other for ever. */
    private static Set<String> union(Set<String> known, Collection<String> more) {
        Set<String> all = new LinkedHashSet<>(known);
        more.stream().filter(incarnation -> all.size() < MAX_INCARNATIONS).forEach(all::add);
        return all;
    }

    /** Returns the losses that count. */
    int activeLossCount() {
        int standing = 0;
        for (String incarnation : losses) {
            if (!withdrawn.contains(incarnation)) {
                standing++;
            }
        }
        return standing;
    }

    /** Returns whether it takes no more losses. */
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
