package org.wingstall.relay.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.wire.ConfigSource;
import org.wingstall.relay.wire.OperatorState;

/**
 * Keeps the configuration and the evacuations up to date; keeps the last ones while the source fails. Runs on the
 * control loop.
 *
 * <p>{@code new RelayConfigFollower(loop, source, state, evacuations, freshness, clock, 1300, () -> true).start();}
 *
 * @since 0.2
 */
public final class RelayConfigFollower {
    private static final Logger LOG = LogManager.getLogger(RelayConfigFollower.class);

    /** Interval between checks of the age of the configuration, in ms. */
    private static final long AGE_CHECK_INTERVAL_MS = 100;

    private final EventLoop loop;
    private final ConfigSource source;
    private final RelayState state;
    private final EvacuationState evacuations;
    private final ConfigFreshness freshness;
    private final MonotonicClock clock;
    private final long doubtAfterMs;
    private final BooleanSupplier readsForOthers;
    private final SourceHealth health = new SourceHealth("config");
    private boolean fullReadDue = true;
    private boolean catchUpInProgress;
    private boolean mayDoubt;

    /**
     * Creates a follower.
     *
     * @param loop the control loop
     * @param source source of the configuration
     * @param state receives the configuration
     * @param evacuations receives the evacuations
     * @param freshness receives the times at which the source confirmed the configuration
     * @param clock monotonic clock
     * @param doubtAfterMs age of the configuration from which the call that waits for changes is in doubt, in ms
     * @param readsForOthers whether peers rely on this box to ask the source
     */
    public RelayConfigFollower(
            EventLoop loop,
            ConfigSource source,
            RelayState state,
            EvacuationState evacuations,
            ConfigFreshness freshness,
            MonotonicClock clock,
            long doubtAfterMs,
            BooleanSupplier readsForOthers) {
        this.readsForOthers = readsForOthers;
        this.doubtAfterMs = doubtAfterMs;
        this.freshness = freshness;
        this.clock = clock;
        this.evacuations = evacuations;
        this.loop = loop;
        this.source = source;
        this.state = state;
    }

    /** Starts polling. */
    public void start() {
        loop.execute(this::poll);
        loop.scheduleWithFixedDelay(
                this::checkAge, AGE_CHECK_INTERVAL_MS, AGE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Neither the store nor a peer may have confirmed the configuration because connections are silent. */
    private void checkAge() {
        freshness.logChange();
        if (mayDoubt && tooOld()) {
            mayDoubt = false;
            source.doubtWait();
        }
    }

    /** Confirmations by peers do not count at a box on which its peers rely, which may have become one just now. */
    private boolean tooOld() {
        return freshness.ageMs() > doubtAfterMs
                || freshness.storeAgeMs() > doubtAfterMs && readsForOthers.getAsBoolean();
    }

    private void poll() {
        boolean held = !fullReadDue;
        mayDoubt = held;
        long beganMs = clock.nowMs();
        nextRead()
                .whenCompleteAsync(
                        (news, failure) -> {
                            mayDoubt = false;
                            if (held) {
                                logEnd(clock.nowMs() - beganMs, news, failure);
                            }
                            if (failure == null) {
                                fullReadDue = false;
                                freshness.confirmedByStore(held ? clock.nowMs() : beganMs);
                            } else {
                                fullReadDue = true;
                            }
                            health.recordResult(failure);
                            long delayMs = failure == null ? 0 : retryDelayMs();
                            loop.schedule(this::poll, delayMs, TimeUnit.MILLISECONDS);
                        },
                        loop);
    }

    /** A call that ends without a change is the usual case, and not logged. */
    private static void logEnd(long heldMs, OperatorState news, Throwable failure) {
        if (failure != null || news.config().isPresent()) {
            LogEvent.info("config-wait-ended")
                    .with("heldMs", heldMs)
                    .with(
                            "why",
                            failure == null ? "version " + news.config().get().version() : failure.getMessage())
                    .to(LOG);
        }
    }

    private void apply(OperatorState news, String from) {
        news.config().ifPresent(version -> state.updateIfNewer(version, from));
        evacuations.updateIfNewer(news.evacuations(), from);
    }

    /** After a full read without configuration it waits for changes, as the first version is reported as one, too. */
    private CompletableFuture<OperatorState> nextRead() {
        boolean first = fullReadDue && !state.config().known();
        return first ? HedgedRead.start(loop, () -> read(true)) : read(fullReadDue);
    }

    /** Applies each answer, also the second one to a hedged read: the source waits for changes after the newest of them. */
    private CompletableFuture<OperatorState> read(boolean whole) {
        return source.next(whole)
                .thenApplyAsync(
                        news -> {
                            apply(news, "store");
                            return news;
                        },
                        loop);
    }

    /**
     * Reads the configuration now if a peer has a newer one: the call that waits for changes may be on a connection
     * that no longer delivers data. For use on any thread.
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
        LogEvent.info("config-version-heard")
                .with("version", version)
                .with("inForce", state.config().version())
                .to(LOG);
        long beganMs = clock.nowMs();
        source.next(true)
                .whenCompleteAsync(
                        (news, failure) -> {
                            if (failure == null) {
                                apply(news, "store, after a peer");
                                freshness.confirmedByStore(beganMs);
                            }
                            health.recordResult(failure);
                            allowCatchUpAfter(failure == null ? 0 : retryDelayMs());
                        },
                        loop);
    }

    /** Peers send their version with every heartbeat, far more often than an unavailable store should be retried. */
    private void allowCatchUpAfter(long delayMs) {
        loop.schedule(() -> catchUpInProgress = false, delayMs, TimeUnit.MILLISECONDS);
    }

    private long retryDelayMs() {
        return health.retryDelayMs(state.config().known());
    }
}
