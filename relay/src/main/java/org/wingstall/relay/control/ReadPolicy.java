package org.wingstall.relay.control;

/**
 * Says whether this box reads the list of endpoints at every turn, or waits for word of a change.
 *
 * <p>{@code if (duty.mine()) { read(); }}
 *
 * @since 0.3
 */
@FunctionalInterface
public interface ReadPolicy {
    /** Every box reads; the baseline. */
    ReadPolicy ALWAYS = () -> true;

    /** Returns whether this box reads now. */
    boolean shouldRead();
}
