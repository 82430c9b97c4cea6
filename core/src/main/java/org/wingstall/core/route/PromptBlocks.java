package org.wingstall.core.route;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Splits a prompt into blocks and computes a digest of each block together with all blocks before it.
 *
 * <p>{@code long[] digests = PromptBlocks.digests("You are a kitchen planner. ...");}
 *
 * @since 0.1
 */
public final class PromptBlocks {
    /** Number of characters in a block. */
    public static final int BLOCK_CHARS = 256;

    /** Maximum number of blocks that get a digest. */
    public static final int MAX_BLOCKS = 64;

    private PromptBlocks() {}

    /**
     * Returns the digests of a prompt's complete blocks.
     *
     * @param prompt text of the prompt
     * @return one digest for each complete block, at most {@link #MAX_BLOCKS}
     */
    public static long[] digests(CharSequence prompt) {
        int count = Math.min(MAX_BLOCKS, prompt.length() / BLOCK_CHARS);
        long[] digests = new long[count];
        HashStream64 stream = Hashing.komihash5_0().hashStream();
        for (int i = 0; i < count; i++) {
            stream.putChars(prompt.subSequence(i * BLOCK_CHARS, (i + 1) * BLOCK_CHARS));
            digests[i] = stream.getAsLong();
        }
        return digests;
    }
}
