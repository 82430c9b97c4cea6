package org.wingstall.relay.control;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.member.MemberListDiff;
import org.wingstall.core.member.MemberSnapshot;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.wire.EndpointSource;
import org.wingstall.schema.peer.MemberNews;

/**
 * Follows the list of endpoints: reads it at every turn where that is this box's duty, and otherwise takes in the changes
 * that readers tell. Runs on the control loop.
 *
 * <p>A change is applied only to the list that it was made for. Heartbeats carry the tag of the list that their sender has
 * read lately and the version at which it saw that list first, so a box that missed a change reads for itself.
 * {@code follower.start();}
 *
 * @since 0.3
 */
public final class ListFollower {
    private static final Logger LOG = LogManager.getLogger(ListFollower.class);

    /** Turns within which a reader has to have read the list to vouch for it; one read may fail. */
    private static final int FRESH_INTERVALS = 3;

    /** Longest time without a read of its own, in ms, whatever peers say. */
    private static final long MAX_READ_AGE_MS = 30_000;

    /** Time after an outage for which every box reads, in ms: entries that lapsed have about 2 s to come back. */
    private static final long RECOVERY_MS = 4000;

    private final EventLoop loop;
    private final EndpointSource source;
    private final RelayEndpoints endpoints;
    private final ReadPolicy readPolicy;
    private final MonotonicClock clock;
    private final long intervalMs;
    private final ChangeListener listener;
    private final SourceHealth health = new SourceHealth("endpoints");
    private boolean readInProgress;
    private long recoveredAtMs = Long.MIN_VALUE;
    private long asOfVersion;
    private volatile VersionedList current = new VersionedList(MemberSnapshot.NONE, 0);
    private volatile long readAtMs = Long.MIN_VALUE / 2;

    /**
     * A list and where it comes from in time.
     *
     * @param list the list
     * @param version version of the source at which this box saw the list first
     */
    private record VersionedList(MemberSnapshot list, long version) {}

    /** Told of changes of the list. */
    public interface ChangeListener {
        /** The list differs from the one before. */
        void changed();

        /** This box has read a change that peers may not know. */
        void announce(MemberNews news);
    }

    /**
     * Creates a follower.
     *
     * @param loop the control loop
     * @param source where the list comes from
     * @param table takes the list
     * @param duty whether this box reads at every turn
     * @param clock monotonic clock
     * @param intervalMs time between two turns, in ms
     * @param listener told of changes
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

    /** Begins to follow. */
    public void start() {
        loop.execute(this::poll);
    }

    /** Returns whether the source gave no answer to the last read; read on any thread. */
    public boolean sourceUnavailable() {
        return !health.available();
    }

    /** Returns the short tag of the list if this box has read it lately, else 0; read on any thread. */
    public int freshTag() {
        boolean fresh = clock.nowMs() - readAtMs < FRESH_INTERVALS * intervalMs;
        return fresh && health.available() ? current.list().shortTag() : 0;
    }

    /** Returns the version of the source at which this box saw its list first; read on any thread. */
    public long listVersion() {
        return current.version();
    }

    /**
     * Records the list that a peer has read lately. For use on any thread.
     *
     * @param tag short tag of its list; 0 when the peer has not read it lately
     * @param version the version at which the peer saw that list first
     */
    public void onPeerList(int tag, long version) {
        if (tag == 0) {
            return;
        }
        if (tag == current.list().shortTag()) {
            endpoints.markListCurrent();
        } else {
            loop.execute(() -> readIfNewer(version));
        }
    }

    /** A source that gives no answers is asked at its own pace, not with every heartbeat. */
    private void readIfNewer(long version) {
        if (version > asOfVersion && health.available()) {
            startReadIfIdle();
        }
    }

    /** Takes in a change that a peer read; one that was made for another list is read instead. For use on any thread. */
    public void onPeerChange(MemberNews news) {
        loop.execute(() -> applyPeerChange(news));
    }

    private void applyPeerChange(MemberNews news) {
        boolean stale = news.getVersion() <= asOfVersion
                || news.getTag().equals(current.list().tag());
        if (stale || recovering()) {
            return;
        }
        Optional<MemberSnapshot> after = MemberListDiff.apply(current.list(), news);
        if (after.isEmpty()) {
            startReadIfIdle();
            return;
        }
        endpoints.applyList(after.get().members());
        current = new VersionedList(after.get(), news.getVersion());
        asOfVersion = news.getVersion();
        LogEvent.info("endpoint-list-told")
                .with("version", news.getVersion())
                .with("changed", news.getChanged().size())
                .with("removed", news.getRemoved().size())
                .to(LOG);
        listener.changed();
    }

    /** While entries that lapsed may come back, each box goes by what it reads itself. */
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

    private void startReadIfIdle() {
        if (!readInProgress) {
            readInProgress = true;
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
    }

    private void apply(EndpointSource.Listing listing) {
        if (!health.available()) {
            recoveredAtMs = clock.nowMs() + RECOVERY_MS;
        }
        readAtMs = clock.nowMs();
        if (listing.version() < asOfVersion) {
            LogEvent.warn("endpoint-list-older")
                    .with("read", listing.version())
                    .with("known", asOfVersion)
                    .to(LOG);
            return;
        }
        MemberSnapshot before = current.list();
        MemberSnapshot after = MemberSnapshot.withContentTag(listing.members());
        boolean endpointsDiffer = endpoints.applyList(after.members());
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
