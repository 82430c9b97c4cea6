package org.wingstall.relay.wire;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wingstall.relay.config.RelayConfig;

/**
 * Where the configuration comes from.
 *
 * <p>{@code source.next(false).thenAccept(config -> config.ifPresent(state::offer));}
 *
 * @since 0.2
 */
public interface ConfigSource {
    /**
     * Reads the configuration, or waits for a change of it.
     *
     * @param whole whether to read it now, rather than to wait for a change after the last answer
     * @return a configuration; empty when none came while waiting; fails with a
     *     {@link org.wingstall.relay.wire.SourceException}
     */
    CompletableFuture<Optional<RelayConfig>> next(boolean whole);
}
