package org.wingstall.core.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wingstall.schema.peer.CrashReport;

/**
 * Which endpoints ended under which requests, as this box saw it and others told it. Bounded in number; not safe for use on
 * several threads.
 */
final class CrashRecordStore {
    /** Requests that are remembered; each takes some hundred bytes, and a lost endpoint leaves at most what it ran at once. */
    private static final int MAX_REQUESTS = 2000;

    /**
     * Time after the last loss for which a request that is not held back stays suspected, in ms: a request that crashes
     * endpoints comes again within seconds, and a later loss of an unlucky one is another matter.
     */
    private static final long SUSPICION_MS = 120_000;

    private final Map<Fingerprint, CrashRecord> records = new HashMap<>();

    boolean isEmpty() {
        return records.isEmpty();
    }

    /** Returns what is known of a request; nothing of one that was never suspected or lately no more. */
    CrashRecord find(Fingerprint request, long nowMs) {
        CrashRecord record = records.getOrDefault(request, CrashRecord.EMPTY);
        return expired(record, nowMs) ? CrashRecord.EMPTY : record;
    }

    /** Adds a report; returns all that is known of its request since, or nothing when the report told nothing new. */
    Optional<CrashReport> add(CrashReport report, long nowMs) {
        Fingerprint request = new Fingerprint(report.getFingerprint());
        CrashRecord before = find(request, nowMs);
        CrashRecord after = before.merge(report, nowMs);
        if (!after.containsMoreThan(before) || expired(after, nowMs)) {
            return Optional.empty();
        }
        records.put(request, after);
        if (records.size() > MAX_REQUESTS) {
            evict(nowMs);
        }
        return Optional.of(after.toReport(request, nowMs));
    }

    /** Returns the requests under which an incarnation ended, as far as it is known. */
    List<Fingerprint> requestsLostWith(String incarnation) {
        return records.entrySet().stream()
                .filter(entry -> entry.getValue().losses().contains(incarnation))
                .filter(entry -> !entry.getValue().withdrawn().contains(incarnation))
                .map(Map.Entry::getKey)
                .toList();
    }

    Set<Fingerprint> requests() {
        return records.keySet();
    }

    List<CrashReport> reports(long nowMs) {
        return records.entrySet().stream()
                .map(entry -> entry.getValue().toReport(entry.getKey(), nowMs))
                .toList();
    }

    void removeExpired(long nowMs) {
        records.values().removeIf(record -> expired(record, nowMs));
    }

    /** Drops the least suspected, and of those the oldest; a tenth at once, since each time takes a look at all. */
    private void evict(long nowMs) {
        removeExpired(nowMs);
        int tooMany = records.size() - MAX_REQUESTS;
        if (tooMany > 0) {
            List<Fingerprint> least = records.entrySet().stream()
                    .sorted(Comparator.comparingInt((Map.Entry<Fingerprint, CrashRecord> entry) ->
                                    entry.getValue().activeLossCount())
                            .thenComparingLong(entry -> entry.getValue().lastLossAtMs()))
                    .limit(tooMany + MAX_REQUESTS / 10)
                    .map(Map.Entry::getKey)
                    .toList();
            least.forEach(records::remove);
        }
    }

    private static boolean expired(CrashRecord record, long nowMs) {
        long keptMs = record.activeLossCount() >= Quarantine.QUARANTINE_THRESHOLD
                ? Quarantine.REPORT_RETENTION_MS
                : SUSPICION_MS;
        return nowMs - record.lastLossAtMs() >= keptMs;
    }
}
