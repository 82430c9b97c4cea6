package org.wingstall.soak;

import java.util.List;

/**
 * Something that must hold whatever fails.
 *
 * <p>{@code promise.broken(observations)} is empty while it holds.
 *
 * @since 0.3
 */
interface Promise {
    /** Returns its name in reports. */
    String name();

    /** Returns what was seen that must not be. */
    List<String> broken(Observations seen);
}
