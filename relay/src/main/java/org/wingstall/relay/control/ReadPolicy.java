package org.wingstall.relay.control;

/**
 * Decides whether this box reads the endpoint list at every poll, or waits for changes that peers announce.
 *
 * <p>{@code if (policy.shouldRead()) { read(); }}
 *
 * @since 0.3
 */
@FunctionalInterface
public interface ReadPolicy {
    /** Every box reads at every poll; the baseline for comparisons. */
    ReadPolicy ALWAYS = () -> true;

    /** Returns whether this box reads now. */
    boolean shouldRead();
}
