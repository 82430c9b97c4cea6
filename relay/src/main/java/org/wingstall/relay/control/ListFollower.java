package org.wingstall.relay.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.member.MemberListDiff;
import org.wingstall.core.member.MemberSnapshot;
import org.wingstall.core.member.StoreVersion;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.wire.EndpointSource;
import org.wingstall.schema.peer.MemberNews;

/**
 * Keeps the endpoint list up to date: reads it at every poll if the read policy says so, and otherwise applies the
 * changes that other boxes announce. Runs on the control loop.
 *
 * <p>A change is applied only to the list that it was computed from. Heartbeats carry the tag of the list that their
 * sender has read recently and the version at which it first saw that list, so that a box that missed a change reads
 * the list.
 * {@code follower.start();}
 *
 * @since 0.3
 */
public final class ListFollower {
    private static final Logger LOG = LogManager.getLogger(ListFollower.class);

    /** Poll intervals for which a list that was read counts as fresh, so that single reads may fail. */
    private static final int FRESH_INTERVALS = 3;

    /** Maximum time between reads of this box, in ms, even if peers announce no change. */
    private static final long MAX_READ_AGE_MS = 30_000;

    /** Time after an outage in which every box reads, in ms; expired entries have about 2 s to be registered again. */
    private static final long RECOVERY_MS = 4000;

    /** The same after the store was restored, in ms; longer than entries of endpoints that are gone stay listed. */
    private static final long RESTORED_RECOVERY_MS = 6000;

    private final EventLoop loop;
    private final EndpointSource source;
    private final RelayEndpoints endpoints;
    private final ReadPolicy readPolicy;
    private final MonotonicClock clock;
    private final long intervalMs;
    private final ChangeListener listener;
    private final SourceHealth health = new SourceHealth("endpoints");
    private boolean readInProgress;
    private long readBeganMs;
    private List<CompletableFuture<Boolean>> awaitRead = List.of();
    private List<CompletableFuture<Boolean>> awaitNextRead = new ArrayList<>();
    private long recoveredAtMs = Long.MIN_VALUE;
    private StoreVersion asOfVersion = StoreVersion.NONE;
    private volatile VersionedList current = new VersionedList(MemberSnapshot.NONE, StoreVersion.NONE);
    private volatile long readAtMs = Long.MIN_VALUE / 2;

    /**
     * A list and its version.
     *
     * @param list the list
     * @param version version of the source at which this box first saw the list
     */
    private record VersionedList(MemberSnapshot list, StoreVersion version) {}

    /** Receives changes of the list. */
    public interface ChangeListener {
        /** The list has changed. */
        void changed();

        /** This box has read a change that is to be announced to peers. */
        void announce(MemberNews news);
    }

    /**
     * Creates a follower.
     *
     * @param loop the control loop
     * @param source source of the list
     * @param endpoints receives the list
     * @param readPolicy whether this box reads at every poll
     * @param clock monotonic clock
     * @param intervalMs poll interval, in ms
     * @param listener receives changes
     */
    public ListFollower(
            EventLoop loop,
            EndpointSource source,
            RelayEndpoints endpoints,
            ReadPolicy readPolicy,
            MonotonicClock clock,
            long intervalMs,
            ChangeListener listener) {
        this.loop = loop;
        this.source = source;
        this.endpoints = endpoints;
        this.readPolicy = readPolicy;
        this.clock = clock;
        this.intervalMs = intervalMs;
        this.listener = listener;
    }

    /** Starts polling. */
    public void start() {
        loop.execute(this::poll);
    }

    /** Returns whether the last read failed; on any thread. */
    public boolean sourceUnavailable() {
        return !health.available();
    }

    /** Returns the short tag of the list if this box has read it recently, else 0; on any thread. */
    public int freshTag() {
        boolean fresh = clock.nowMs() - readAtMs < FRESH_INTERVALS * intervalMs;
        return fresh && health.available() ? current.list().shortTag() : 0;
    }

    /** Returns the version of the source at which this box first saw its list; on any thread. */
    public StoreVersion listVersion() {
        return current.version();
    }

    /**
     * Confirms the list, or reads it if a peer has recently read a newer one. For use on any thread.
     *
     * @param tag short tag of its list; 0 when the peer has not read it recently
     * @param version the version at which the peer first saw that list
     */
    public void onPeerList(int tag, StoreVersion version) {
        if (tag == 0) {
            return;
        }
        if (tag == current.list().shortTag()) {
            endpoints.markListCurrent();
        } else {
            loop.execute(() -> readIfNewer(version));
        }
    }

    /** A source that does not answer is retried by the poll only, not at every heartbeat. */
    private void readIfNewer(StoreVersion version) {
        if (version.orEraOf(asOfVersion).isAfter(asOfVersion) && health.available()) {
            startReadIfIdle();
        }
    }

    /**
     * Applies a change that a peer read; reads the list if the change is based on another one. For use on any thread.
     */
    public void onPeerChange(MemberNews news) {
        loop.execute(() -> applyPeerChange(news));
    }

    private void applyPeerChange(MemberNews news) {
        StoreVersion version = new StoreVersion(news.getEra(), news.getVersion()).orEraOf(asOfVersion);
        boolean stale = !version.isAfter(asOfVersion)
                || news.getTag().equals(current.list().tag());
        if (stale || recovering()) {
            return;
        }
        // What a restored store lacks is known only to a box that reads all of it.
        Optional<MemberSnapshot> after =
                version.isRestoredSince(asOfVersion) ? Optional.empty() : MemberListDiff.apply(current.list(), news);
        if (after.isEmpty()) {
            startReadIfIdle();
            return;
        }
        endpoints.applyList(after.get().members());
        current = new VersionedList(after.get(), version);
        asOfVersion = version;
        LogEvent.info("endpoint-list-told")
                .with("version", news.getVersion())
                .with("changed", news.getChanged().size())
                .with("removed", news.getRemoved().size())
                .to(LOG);
        listener.changed();
    }

    /**
     * During and shortly after an outage each box relies on its own reads, as expired entries may be registered again.
     */
    private boolean recovering() {
        return !health.available() || clock.nowMs() < recoveredAtMs;
    }

    private void poll() {
        long nowMs = clock.nowMs();
        boolean due = recovering() || nowMs - readAtMs >= MAX_READ_AGE_MS || readPolicy.shouldRead();
        if (due) {
            startReadIfIdle();
        }
        long delayMs = health.available() ? intervalMs : health.retryDelayMs(endpoints.listLoaded());
        loop.schedule(this::poll, delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Reads the list; a read that is in progress does not count. A source that does not answer is retried by the poll only.
     * For use on any thread.
     *
     * @return completes with whether the list was read
     */
    public CompletableFuture<Boolean> readAnew() {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        loop.execute(() -> {
            if (health.available()) {
                awaitNextRead.add(done);
                startReadIfIdle();
            } else {
                done.complete(false);
            }
        });
        return done;
    }

    private void startReadIfIdle() {
        if (!readInProgress) {
            readInProgress = true;
            readBeganMs = clock.nowMs();
            awaitRead = awaitNextRead;
            awaitNextRead = new ArrayList<>();
            readSource().whenCompleteAsync(this::onRead, loop);
        }
    }

    private CompletableFuture<EndpointSource.Listing> readSource() {
        return endpoints.listLoaded() ? source.read() : HedgedRead.start(loop, source::read);
    }

    private void onRead(EndpointSource.Listing listing, Throwable failure) {
        readInProgress = false;
        if (failure == null) {
            apply(listing);
        } else {
            endpoints.markListUnavailable();
            recoveredAtMs = Long.MAX_VALUE;
        }
        health.recordResult(failure);
        awaitRead.forEach(waiting -> waiting.complete(failure == null));
        if (!awaitNextRead.isEmpty()) {
            startReadIfIdle();
        }
    }

    private void apply(EndpointSource.Listing listing) {
        if (!health.available()) {
            recoveredAtMs = clock.nowMs() + RECOVERY_MS;
        }
        readAtMs = clock.nowMs();
        if (asOfVersion.isAfter(listing.version())) {
            LogEvent.warn("endpoint-list-older")
                    .with("read", listing.version().number())
                    .with("known", asOfVersion.number())
                    .with("readEra", listing.version().era())
                    .with("knownEra", asOfVersion.era())
                    .to(LOG);
            return;
        }
        if (listing.version().isRestoredSince(asOfVersion)) {
            endpoints.markListRestored();
            recoveredAtMs = clock.nowMs() + RESTORED_RECOVERY_MS;
        }
        MemberSnapshot before = current.list();
        MemberSnapshot after = MemberSnapshot.withContentTag(listing.members());
        boolean endpointsDiffer = endpoints.applyList(after.members(), readBeganMs);
        asOfVersion = listing.version();
        boolean listDiffers = !after.tag().equals(before.tag());
        if (listDiffers) {
            current = new VersionedList(after, listing.version());
        }
        if (endpointsDiffer || listDiffers) {
            listener.changed();
        }
        if (listDiffers && before.shortTag() != 0 && !recovering()) {
            listener.announce(MemberListDiff.between(before, after, listing.version()));
        }
    }
}
