package org.wingstall.relay.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Models which parts of prompts an engine has likely cached, from the prompts assigned to it: the least recently used
 * parts are evicted first. Confined to the request loop.
 */
final class PrefixCacheModel {
    private final long capacityTokens;
    private final LinkedHashMap<Long, CachedPart> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedTokens;

    /**
     * A cached part of a prompt.
     *
     * @param tokens its length in tokens
     * @param prefilledAtMs when its prefill is done, in ms of the monotonic clock
     */
    private record CachedPart(int tokens, long prefilledAtMs) {}

    PrefixCacheModel(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /**
     * The leading parts of a prompt that an engine has.
     *
     * @param assigned how many were assigned to it
     * @param prefilled how many of these it has prefilled by now, so that other engines can fetch them
     */
    record LeadingParts(int assigned, int prefilled) {
        private static final LeadingParts NONE = new LeadingParts(0, 0);
    }

    /** Returns how many leading parts of a prompt were assigned to the engine. */
    int assignedParts(Prompt prompt) {
        return leadingParts(prompt, Long.MAX_VALUE).assigned();
    }

    /** Returns the leading parts of a prompt that the engine has, and marks them as used. */
    LeadingParts leadingParts(Prompt prompt, long nowMs) {
        int assigned = 0;
        int prefilled = 0;
        for (long digest : prompt.digests()) {
            CachedPart part = parts.get(digest);
            if (part == null) {
                break;
            }
            if (prefilled == assigned && part.prefilledAtMs() <= nowMs) {
                prefilled++;
            }
            assigned++;
        }
        return assigned == 0 ? LeadingParts.NONE : new LeadingParts(assigned, prefilled);
    }

    /** Adds the parts of a prompt that is assigned to the engine, whose prefill will be done at the given time. */
    void add(Prompt prompt, long prefilledAtMs) {
        List<Long> digests = prompt.digests();
        for (int i = 0; i < digests.size(); i++) {
            CachedPart cached = parts.get(digests.get(i));
            if (cached == null) {
                parts.put(digests.get(i), new CachedPart(prompt.tokens().get(i), prefilledAtMs));
                cachedTokens += prompt.tokens().get(i);
            }
        }
        evictOldest();
    }

    private void evictOldest() {
        Iterator<Map.Entry<Long, CachedPart>> oldest = parts.entrySet().iterator();
        while (cachedTokens > capacityTokens && oldest.hasNext()) {
            cachedTokens -= oldest.next().getValue().tokens();
            oldest.remove();
        }
    }
}
