package org.wingstall.core.route;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Cuts a prompt into blocks and digests each together with all blocks before it.
 *
 * <p>{@code long[] digests = PromptBlocks.digests("You are a kitchen planner. ...");}
 *
 * @since 0.1
 */
public final class PromptBlocks {
    /** Characters in a block. */
    public static final int BLOCK_CHARS = 256;

    /** Most blocks that are told apart. */
    public static final int MAX_BLOCKS = 64;

    private PromptBlocks() {}

    /**
     * Returns the digests of a prompt's whole blocks.
     *
     * @param prompt text of the prompt
     * @return one digest for each whole block, at most {@link #MAX_BLOCKS}
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
