package org.wingstall.relay.wire;

import java.util.concurrent.CompletableFuture;

/**
 * Source of the configuration and of the evacuations that operators ordered.
 *
 * <p>{@code source.next(false).thenAccept(update -> update.config().ifPresent(state::offer));}
 *
 * @since 0.2
 */
public interface ConfigSource {
    /**
     * Reads the operator state, or waits for a change of it.
     *
     * @param whole whether to read it now, rather than to wait for a change after the last response
     * @return the operator state; without a configuration when none arrived during the wait; fails with a
     *     {@link org.wingstall.relay.wire.SourceException}
     */
    CompletableFuture<OperatorState> next(boolean whole);

    /** Makes a call that waits for a change ask at once over a new connection, since its own may be silent. */
    default void doubtWait() {}
}
