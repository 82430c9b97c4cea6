package org.wingstall.core.quarantine;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Remembers which parts of prompts endpoints have answered lately at this box. Thread-safe. */
final class PartSurvivals {
    /** Time for which an answer counts as recent, in ms; a part that callers use regularly is answered more often. */
    private static final long RECENT_MS = 3000;

    /** Size from which outdated entries are removed; each takes about 150 bytes. */
    private static final int MAX_PARTS = 4000;

    private final Map<Fingerprint, Long> answeredAtMs = new ConcurrentHashMap<>();

    void record(Fingerprint part, long nowMs) {
        answeredAtMs.put(part, nowMs);
        if (answeredAtMs.size() > MAX_PARTS) {
            answeredAtMs.values().removeIf(atMs -> nowMs - atMs >= RECENT_MS);
        }
        if (answeredAtMs.size() > MAX_PARTS) {
            answeredAtMs.clear();
        }
    }

    boolean recent(Fingerprint part, long nowMs) {
        Long atMs = answeredAtMs.get(part);
        return atMs != null && nowMs - atMs < RECENT_MS;
    }
}
