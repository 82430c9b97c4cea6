package org.wingstall.relay.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wingstall.relay.wire.ConfigSource;
import org.wingstall.relay.wire.OperatorNews;

/**
 * Follows the configuration and the operators' evacuations; keeps what it has while its source does not answer. Runs on the control loop.
 *
 * <p>{@code new RelayConfigFollower(loop, config, state, evacuations).start();}
 *
 * @since 0.2
 */
public final class RelayConfigFollower {
    private final EventLoop loop;
    private final ConfigSource config;
    private final RelayState state;
    private final EvacuationState evacuations;
    private final SourceHealth health = new SourceHealth("config");
    private boolean readWhole = true;
    private boolean hurrying;

    /**
     * Creates a follower.
     *
     * @param loop the control loop
     * @param config where the configuration comes from
     * @param state takes the configuration
     * @param evacuations takes the evacuations
     */
    public RelayConfigFollower(EventLoop loop, ConfigSource config, RelayState state, EvacuationState evacuations) {
        this.evacuations = evacuations;
        this.loop = loop;
        this.config = config;
        this.state = state;
    }

    /** Begins to follow. */
    public void start() {
        loop.execute(this::followConfig);
    }

    private void followConfig() {
        next().whenCompleteAsync(
                        (news, failure) -> {
                            if (failure == null) {
                                readWhole = false;
                                take(news, "store");
                            } else {
                                readWhole = true;
                            }
                            health.ended(failure);
                            long delayMs = failure == null ? 0 : repeatMs();
                            loop.schedule(this::followConfig, delayMs, TimeUnit.MILLISECONDS);
                        },
                        loop);
    }

    private void take(OperatorNews news, String from) {
        news.config().ifPresent(version -> state.offer(version, from));
        evacuations.offer(news.evacuations(), from);
    }

    /** A whole read that found no configuration is followed by a wait: the first version comes as a change, too. */
    private CompletableFuture<OperatorNews> next() {
        boolean first = readWhole && !state.config().known();
        return first ? FirstAnswer.of(loop, () -> config.next(true)) : config.next(readWhole);
    }

    /**
     * Reads the configuration now if a peer has a newer one: the call that waits for changes may wait on a connection that
     * has fallen silent. For use on any thread.
     *
     * @param version the peer's version
     */
    public void newerHeard(long version) {
        loop.execute(() -> hurry(version));
    }

    private void hurry(long version) {
        if (hurrying || version <= state.config().version()) {
            return;
        }
        hurrying = true;
        config.next(true)
                .whenCompleteAsync(
                        (news, failure) -> {
                            if (failure == null) {
                                take(news, "store, after a peer");
                            }
                            health.ended(failure);
                            hurryAgainAfter(failure == null ? 0 : repeatMs());
                        },
                        loop);
    }

    /** Peers tell of their version with every heartbeat, far more often than a store that is away should be asked. */
    private void hurryAgainAfter(long delayMs) {
        loop.schedule(() -> hurrying = false, delayMs, TimeUnit.MILLISECONDS);
    }

    private long repeatMs() {
        return health.repeatMs(state.config().known());
    }
}
