package org.wingstall.relay.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wingstall.relay.wire.ConfigSource;
import org.wingstall.relay.wire.OperatorState;

/**
 * Follows the configuration and the operators' evacuations; keeps what it has while its source does not answer. Runs on the control loop.
 *
 * <p>{@code new RelayConfigFollower(loop, config, state, evacuations).start();}
 *
 * @since 0.2
 */
public final class RelayConfigFollower {
    private final EventLoop loop;
    private final ConfigSource source;
    private final RelayState state;
    private final EvacuationState evacuations;
    private final SourceHealth health = new SourceHealth("config");
    private boolean fullReadDue = true;
    private boolean catchUpInProgress;

    /**
     * Creates a follower.
     *
     * @param loop the control loop
     * @param config where the configuration comes from
     * @param state takes the configuration
     * @param evacuations takes the evacuations
     */
    public RelayConfigFollower(EventLoop loop, ConfigSource source, RelayState state, EvacuationState evacuations) {
        this.evacuations = evacuations;
        this.loop = loop;
        this.source = source;
        this.state = state;
    }

    /** Begins to follow. */
    public void start() {
        loop.execute(this::poll);
    }

    private void poll() {
        nextRead()
                .whenCompleteAsync(
                        (news, failure) -> {
                            if (failure == null) {
                                fullReadDue = false;
                                apply(news, "store");
                            } else {
                                fullReadDue = true;
                            }
                            health.recordResult(failure);
                            long delayMs = failure == null ? 0 : retryDelayMs();
                            loop.schedule(this::poll, delayMs, TimeUnit.MILLISECONDS);
                        },
                        loop);
    }

    private void apply(OperatorState news, String from) {
        news.config().ifPresent(version -> state.updateIfNewer(version, from));
        evacuations.updateIfNewer(news.evacuations(), from);
    }

    /** A whole read that found no configuration is followed by a wait: the first version comes as a change, too. */
    private CompletableFuture<OperatorState> nextRead() {
        boolean first = fullReadDue && !state.config().known();
        return first ? HedgedRead.start(loop, () -> source.next(true)) : source.next(fullReadDue);
    }

    /**
     * Reads the configuration now if a peer has a newer one: the call that waits for changes may wait on a connection that
     * has fallen silent. For use on any thread.
     *
     * @param version the peer's version
     */
    public void onNewerVersion(long version) {
        loop.execute(() -> catchUp(version));
    }

    private void catchUp(long version) {
        if (catchUpInProgress || version <= state.config().version()) {
            return;
        }
        catchUpInProgress = true;
        source.next(true)
                .whenCompleteAsync(
                        (news, failure) -> {
                            if (failure == null) {
                                apply(news, "store, after a peer");
                            }
                            health.recordResult(failure);
                            allowCatchUpAfter(failure == null ? 0 : retryDelayMs());
                        },
                        loop);
    }

    /** Peers tell of their version with every heartbeat, far more often than a store that is away should be asked. */
    private void allowCatchUpAfter(long delayMs) {
        loop.schedule(() -> catchUpInProgress = false, delayMs, TimeUnit.MILLISECONDS);
    }

    private long retryDelayMs() {
        return health.retryDelayMs(state.config().known());
    }
}
