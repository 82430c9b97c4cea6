package org.wingstall.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.wingstall.schema.peer.CrashReport;

/**
 * Stores which endpoints were lost while they ran which requests, as observed by this box or reported by others.
 * Bounded in size; not thread-safe.
 */
final class CrashRecordStore {
    /**
     * Maximum number of requests; each takes a few hundred bytes, and a lost endpoint adds at most the requests that it
     * ran concurrently.
     */
    private static final int MAX_REQUESTS = 2000;

    /**
     * Time after the last loss for which a request that is not quarantined stays suspected, in ms. A request that
     * crashes endpoints is repeated within seconds; a later loss of a harmless request is unrelated and must not be
     * added.
     */
    static final long SUSPICION_MS = 120_000;

    private final Map<Fingerprint, CrashRecord> records = new HashMap<>();

    boolean isEmpty() {
        return records.isEmpty();
    }

    /** Returns the record of a request; an empty one if the request was never suspected or its record has expired. */
    CrashRecord find(Fingerprint request, long nowMs) {
        CrashRecord record = records.getOrDefault(request, CrashRecord.EMPTY);
        return expired(record, nowMs) ? CrashRecord.EMPTY : record;
    }

    /** Merges a report; returns a report of the merged record, or empty if the report contained nothing new. */
    Optional<CrashReport> add(CrashReport report, long nowMs) {
        Fingerprint request = new Fingerprint(report.getFingerprint());
        CrashRecord before = find(request, nowMs);
        CrashRecord after = before.merge(report, nowMs);
        boolean outdated = before == CrashRecord.EMPTY && expired(after, nowMs);
        if (!after.containsMoreThan(before) || outdated) {
            return Optional.empty();
        }
        records.put(request, after);
        if (records.size() > MAX_REQUESTS) {
            evict(nowMs);
        }
        return Optional.of(after.toReport(request, nowMs));
    }

    /** Returns reports that withdraw the loss of an endpoint incarnation from all requests for which it counts. */
    List<CrashReport> withdrawalReports(String incarnation, long nowMs) {
        return records.entrySet().stream()
                .filter(entry -> entry.getValue().losses().contains(incarnation))
                .filter(entry -> !entry.getValue().withdrawn().contains(incarnation))
                .map(Map.Entry::getKey)
                .map(request -> find(request, nowMs).withdrawalReport(request, incarnation))
                .toList();
    }

    /** Returns a report that withdraws all losses of a request, if any of them is still active. */
    Optional<CrashReport> clearingReport(Fingerprint request, long nowMs) {
        CrashRecord record = find(request, nowMs);
        return record.activeLossCount() == 0 ? Optional.empty() : Optional.of(record.clearingReport(request));
    }

    /**
     * Returns the active losses of the parts of prompts that are suspicious enough to be held, and more suspicious than a
     * part with this record: by more losses, or by as many that were complete earlier.
     */
    Set<String> lossesExplainedByParts(CrashRecord record, long nowMs) {
        return heldParts(nowMs).stream()
                .map(part -> find(part, nowMs))
                .filter(other -> other.moreSuspiciousThan(record))
                .flatMap(other -> other.activeLosses().stream())
                .collect(Collectors.toSet());
    }

    /** Returns the parts that are suspicious enough to be held, and were lost with all of these endpoints. */
    List<Fingerprint> heldPartsLostWith(Set<String> incarnations, long nowMs) {
        return heldParts(nowMs).stream()
                .filter(part -> find(part, nowMs).activeLosses().containsAll(incarnations))
                .toList();
    }

    private List<Fingerprint> heldParts(long nowMs) {
        return records.keySet().stream()
                .filter(Fingerprint::isPart)
                .filter(part -> find(part, nowMs).activeLossCount() >= Quarantine.QUARANTINE_THRESHOLD)
                .toList();
    }

    Set<Fingerprint> suspects() {
        return records.keySet();
    }

    List<CrashReport> reports(long nowMs) {
        List<CrashReport> reports = new ArrayList<>(records.size());
        records.forEach((suspect, record) -> {
            if (!expired(record, nowMs)) {
                reports.add(record.toReport(suspect, nowMs));
            }
        });
        return reports;
    }

    void removeExpired(long nowMs) {
        records.values().removeIf(record -> expired(record, nowMs));
    }

    /**
     * Removes the records with the fewest active losses, and of those the oldest; a tenth at a time, since each
     * eviction scans all records.
     */
    private void evict(long nowMs) {
        removeExpired(nowMs);
        int excess = records.size() - MAX_REQUESTS;
        if (excess > 0) {
            List<Fingerprint> evicted = records.entrySet().stream()
                    .sorted(Comparator.comparingInt((Map.Entry<Fingerprint, CrashRecord> entry) ->
                                    entry.getValue().activeLossCount())
                            .thenComparingLong(entry -> entry.getValue().lastLossAtMs()))
                    .limit(excess + MAX_REQUESTS / 10)
                    .map(Map.Entry::getKey)
                    .toList();
            evicted.forEach(records::remove);
        }
    }

    private static boolean expired(CrashRecord record, long nowMs) {
        long ageMs = nowMs - record.lastLossAtMs();
        return ageMs >= Quarantine.REPORT_RETENTION_MS
                || ageMs >= SUSPICION_MS && record.activeLossCount() < Quarantine.QUARANTINE_THRESHOLD;
    }
}
