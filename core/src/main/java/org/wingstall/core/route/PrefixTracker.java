package org.wingstall.core.route;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the prompt blocks recently sent to an endpoint and evicts the least recently used ones.
 *
 * <p>{@code int warm = tracker.countWarmBlocks(PromptBlocks.digests(prompt));}
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
     * Counts the leading blocks of a prompt that were sent to the endpoint before.
     *
     * @param digests digests of the prompt's blocks, each over all blocks up to and including its own
     * @return number of leading blocks that are tracked
     */
    public synchronized int countWarmBlocks(long[] digests) {
        int count = 0;
        while (count < digests.length && blocks.get(digests[count]) != null) {
            count++;
        }
        return count;
    }

    /**
     * Records that the blocks of a prompt were sent.
     *
     * @param digests digests of the prompt's blocks
     */
    public synchronized void recordSent(long[] digests) {
        for (long digest : digests) {
            blocks.put(digest, Boolean.TRUE);
        }
    }
}
