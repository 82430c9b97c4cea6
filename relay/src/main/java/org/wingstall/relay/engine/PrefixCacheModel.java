package org.wingstall.relay.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts of prompts that an engine likely keeps, by what it was given: the parts unused longest give way. Confined to the
 * request loop.
 */
final class PrefixCacheModel {
    private final long capacityTokens;
    private final LinkedHashMap<Long, Kept> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long keptTokens;

    /**
     * A part that is kept.
     *
     * @param tokens its length
     * @param readAtMs when it has been read, in ms of the monotonic clock
     */
    private record Kept(int tokens, long readAtMs) {}

    PrefixCacheModel(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Returns how many leading parts of a prompt were given to the engine. */
    int assignedParts(Prompt prompt) {
        return leading(prompt, Long.MAX_VALUE);
    }

    /** Returns how many leading parts of a prompt the engine has read by now, so that others can fetch them. */
    int prefilledParts(Prompt prompt, long nowMs) {
        return leading(prompt, nowMs);
    }

    private int leading(Prompt prompt, long readByMs) {
        int leading = 0;
        for (long digest : prompt.digests()) {
            Kept kept = parts.get(digest);
            if (kept == null || kept.readAtMs() > readByMs) {
                return leading;
            }
            leading++;
        }
        return leading;
    }

    /** Records that the engine is given a prompt and has read it at a time. */
    void add(Prompt prompt, long readAtMs) {
        List<Long> digests = prompt.digests();
        for (int i = 0; i < digests.size(); i++) {
            Kept before = parts.get(digests.get(i));
            if (before == null) {
                parts.put(digests.get(i), new Kept(prompt.tokens().get(i), readAtMs));
                keptTokens += prompt.tokens().get(i);
            }
        }
        dropOldest();
    }

    private void dropOldest() {
        Iterator<Map.Entry<Long, Kept>> oldest = parts.entrySet().iterator();
        while (keptTokens > capacityTokens && oldest.hasNext()) {
            keptTokens -= oldest.next().getValue().tokens();
            oldest.remove();
        }
    }
}
