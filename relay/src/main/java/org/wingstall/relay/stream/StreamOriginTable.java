package org.wingstall.relay.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.peer.StreamOrigin;

/** Keeps the origins of streams for as long as these may be resumed, up to a number. Confined to the request loop. */
final class StreamOriginTable {
    /** Most origins; a few hundred bytes each. */
    static final int MAX_ORIGINS = 8192;

    /** Longest time for which an origin is kept, in ms, whatever its caller asks for. */
    static final long MAX_LIFETIME_MS = 120_000;

    private final MonotonicClock clock;
    private final Runnable onDropped;
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    private record Entry(StreamOrigin origin, long recordedAtMs, long expiresAtMs) {
        /** Returns the origin as it stands at a later time. */
        StreamOrigin at(long nowMs) {
            return new StreamOrigin(
                    origin.getStreamId(),
                    origin.getBox(),
                    origin.getNumber(),
                    origin.getWorkspace(),
                    origin.getService(),
                    origin.getVersion(),
                    origin.getAgeMs() + nowMs - recordedAtMs,
                    Math.max(0, expiresAtMs - nowMs));
        }
    }

    /**
     * Creates an empty table.
     *
     * @param clock monotonic clock
     * @param onDropped run when an origin is dropped before its time, for want of room
     */
    StreamOriginTable(MonotonicClock clock, Runnable onDropped) {
        this.clock = clock;
        this.onDropped = onDropped;
    }

    /** Records an origin, unless a later one of the same stream is known. */
    void put(StreamOrigin origin) {
        long nowMs = clock.nowMs();
        Entry before = entries.get(origin.getStreamId());
        if (before != null && !replaces(origin, before.origin())) {
            return;
        }
        entries.remove(origin.getStreamId());
        long lifetimeMs = Math.min(MAX_LIFETIME_MS, origin.getRemainingMs());
        entries.put(origin.getStreamId(), new Entry(origin, nowMs, nowMs + lifetimeMs));
        removeEldest(nowMs);
    }

    /** Returns whether an origin replaces another one of the same stream: the last endpoint of an attempt counts. */
    static boolean replaces(StreamOrigin origin, StreamOrigin known) {
        return origin.getNumber() >= known.getNumber();
    }

    private void removeEldest(long nowMs) {
        Iterator<Entry> eldest = entries.values().iterator();
        while (eldest.hasNext()) {
            boolean expired = eldest.next().expiresAtMs() <= nowMs;
            boolean full = entries.size() > MAX_ORIGINS;
            if (!expired && !full) {
                return;
            }
            eldest.remove();
            if (!expired) {
                onDropped.run();
            }
        }
    }

    /** Returns the origin of a stream that may still be resumed. */
    Optional<StreamOrigin> find(String streamId) {
        long nowMs = clock.nowMs();
        return Optional.ofNullable(entries.get(streamId))
                .filter(entry -> entry.expiresAtMs() > nowMs)
                .map(entry -> entry.at(nowMs));
    }

    /** Returns the origins of all streams that may still be resumed. */
    List<StreamOrigin> all() {
        long nowMs = clock.nowMs();
        return entries.values().stream()
                .filter(entry -> entry.expiresAtMs() > nowMs)
                .map(entry -> entry.at(nowMs))
                .toList();
    }

    int size() {
        return entries.size();
    }
}
