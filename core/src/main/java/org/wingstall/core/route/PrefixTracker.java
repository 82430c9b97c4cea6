package org.wingstall.core.route;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the prompt blocks last sent to an endpoint, least recently used out first.
 *
 * <p>{@code int warm = memory.warmBlocks(PromptBlocks.digests(prompt));}
 *
 * @since 0.1
 */
public final class PrefixTracker {
    private final LinkedHashMap<Long, Boolean> blocks;

    PrefixTracker(int capacity) {
        this.blocks = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > capacity;
            }
        };
    }

    /**
     * Counts the leading blocks of a prompt that were sent before.
     *
     * @param digests digests of the prompt's blocks, each over all blocks up to its own
     * @return number of leading blocks known
     */
    public synchronized int countWarmBlocks(long[] digests) {
        int count = 0;
        while (count < digests.length && blocks.get(digests[count]) != null) {
            count++;
        }
        return count;
    }

    /**
     * Remembers the blocks of a prompt.
     *
     * @param digests digests of the prompt's blocks
     */
    public synchronized void recordSent(long[] digests) {
        for (long digest : digests) {
            blocks.put(digest, Boolean.TRUE);
        }
    }
}
