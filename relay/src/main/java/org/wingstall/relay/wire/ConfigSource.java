package org.wingstall.relay.wire;

import java.util.concurrent.CompletableFuture;

/**
 * Where the configuration and the operators' evacuations come from.
 *
 * <p>{@code source.next(false).thenAccept(news -> news.config().ifPresent(state::offer));}
 *
 * @since 0.2
 */
public interface ConfigSource {
    /**
     * Reads what operators want, or waits for a change of it.
     *
     * @param whole whether to read it now, rather than to wait for a change after the last answer
     * @return what they want; without a configuration when none came while waiting; fails with a
     *     {@link org.wingstall.relay.wire.SourceException}
     */
    CompletableFuture<OperatorState> next(boolean whole);
}
