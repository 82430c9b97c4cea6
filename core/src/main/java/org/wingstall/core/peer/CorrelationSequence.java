package org.wingstall.core.peer;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Numbers what a process asks of others. It begins at a random number, so that an answer to a former life of the process,
 * which is known to others by the same name, can't be taken for one to this life. Not thread-safe.
 *
 * <p>{@code long correlation = new CorrelationSequence().next();}
 *
 * @since 0.18
 */
public final class CorrelationSequence {
    /** Far below the largest number, so that the sequence never ends; 0 means that no reply is wanted. */
    private static final long FIRST_BOUND = 1L << 62;

    private long last;

    /** Begins a sequence for this life of the process. */
    public CorrelationSequence() {
        this(new SplittableRandom());
    }

    CorrelationSequence(RandomGenerator random) {
        last = random.nextLong(FIRST_BOUND);
    }

    /** Returns the next number. */
    public long next() {
        last++;
        return last;
    }
}
