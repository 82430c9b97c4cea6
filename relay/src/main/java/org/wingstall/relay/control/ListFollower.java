package org.wingstall.relay.control;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.member.MemberChanges;
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
    private static final int FRESH_TURNS = 3;

    /** Longest time without a read of its own, in ms, whatever peers say. */
    private static final long MOST_AGE_MS = 30_000;

    /** Time after an outage for which every box reads, in ms: entries that lapsed have about 2 s to come back. */
    private static final long SETTLE_MS = 4000;

    private final EventLoop loop;
    private final EndpointSource source;
    private final RelayEndpoints table;
    private final ReadingDuty duty;
    private final MonotonicClock clock;
    private final long intervalMs;
    private final ChangeListener listener;
    private final SourceHealth health = new SourceHealth("endpoints");
    private boolean reading;
    private long settledAtMs = Long.MIN_VALUE;
    private long asOfVersion;
    private volatile Known known = new Known(MemberSnapshot.NONE, 0);
    private volatile long readAtMs = Long.MIN_VALUE / 2;

    /**
     * A list and where it comes from in time.
     *
     * @param list the list
     * @param version version of the source at which this box saw the list first
     */
    private record Known(MemberSnapshot list, long version) {}

    /** Told of changes of the list. */
    public interface ChangeListener {
        /** The list differs from the one before. */
        void changed();

        /** This box has read a change that peers may not know. */
        void tell(MemberNews news);
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
            RelayEndpoints table,
            ReadingDuty duty,
            MonotonicClock clock,
            long intervalMs,
            ChangeListener listener) {
        this.loop = loop;
        this.source = source;
        this.table = table;
        this.duty = duty;
        this.clock = clock;
        this.intervalMs = intervalMs;
        this.listener = listener;
    }

    /** Begins to follow. */
    public void start() {
        loop.execute(this::turn);
    }

    /** Returns whether the source gave no answer to the last read; read on any thread. */
    public boolean unanswered() {
        return !health.answers();
    }

    /** Returns the short tag of the list if this box has read it lately, else 0; read on any thread. */
    public int tagReadLately() {
        boolean fresh = clock.nowMs() - readAtMs < FRESH_TURNS * intervalMs;
        return fresh && health.answers() ? known.list().shortTag() : 0;
    }

    /** Returns the version of the source at which this box saw its list first; read on any thread. */
    public long listVersion() {
        return known.version();
    }

    /**
     * Records the list that a peer has read lately. For use on any thread.
     *
     * @param tag short tag of its list; 0 when the peer has not read it lately
     * @param version the version at which the peer saw that list first
     */
    public void peerHas(int tag, long version) {
        if (tag == 0) {
            return;
        }
        if (tag == known.list().shortTag()) {
            table.confirmed();
        } else {
            loop.execute(() -> readIfNewer(version));
        }
    }

    /** A source that gives no answers is asked at its own pace, not with every heartbeat. */
    private void readIfNewer(long version) {
        if (version > asOfVersion && health.answers()) {
            readUnlessReading();
        }
    }

    /** Takes in a change that a peer read; one that was made for another list is read instead. For use on any thread. */
    public void newsFromPeer(MemberNews news) {
        loop.execute(() -> takeNews(news));
    }

    private void takeNews(MemberNews news) {
        boolean late = news.getVersion() <= asOfVersion
                || news.getTag().equals(known.list().tag());
        if (late || settling()) {
            return;
        }
        Optional<MemberSnapshot> after = MemberChanges.apply(known.list(), news);
        if (after.isEmpty()) {
            readUnlessReading();
            return;
        }
        table.applyList(after.get().members());
        known = new Known(after.get(), news.getVersion());
        asOfVersion = news.getVersion();
        LogEvent.info("endpoint-list-told")
                .with("version", news.getVersion())
                .with("changed", news.getChanged().size())
                .with("removed", news.getRemoved().size())
                .to(LOG);
        listener.changed();
    }

    /** While entries that lapsed may come back, each box goes by what it reads itself. */
    private boolean settling() {
        return !health.answers() || clock.nowMs() < settledAtMs;
    }

    private void turn() {
        long nowMs = clock.nowMs();
        boolean due = settling() || nowMs - readAtMs >= MOST_AGE_MS || duty.mine();
        if (due) {
            readUnlessReading();
        }
        long delayMs = health.answers() ? intervalMs : health.repeatMs(table.known());
        loop.schedule(this::turn, delayMs, TimeUnit.MILLISECONDS);
    }

    private void readUnlessReading() {
        if (!reading) {
            reading = true;
            readSource().whenCompleteAsync(this::read, loop);
        }
    }

    private CompletableFuture<EndpointSource.Listing> readSource() {
        return table.known() ? source.read() : FirstAnswer.of(loop, source::read);
    }

    private void read(EndpointSource.Listing listing, Throwable failure) {
        reading = false;
        if (failure == null) {
            apply(listing);
        } else {
            table.unread();
            settledAtMs = Long.MAX_VALUE;
        }
        health.ended(failure);
    }

    private void apply(EndpointSource.Listing listing) {
        if (!health.answers()) {
            settledAtMs = clock.nowMs() + SETTLE_MS;
        }
        readAtMs = clock.nowMs();
        if (listing.version() < asOfVersion) {
            LogEvent.warn("endpoint-list-older")
                    .with("read", listing.version())
                    .with("known", asOfVersion)
                    .to(LOG);
            return;
        }
        MemberSnapshot before = known.list();
        MemberSnapshot after = MemberSnapshot.tagged(listing.members());
        boolean endpointsDiffer = table.applyList(after.members());
        asOfVersion = listing.version();
        boolean listDiffers = !after.tag().equals(before.tag());
        if (listDiffers) {
            known = new Known(after, listing.version());
        }
        if (endpointsDiffer || listDiffers) {
            listener.changed();
        }
        if (listDiffers && before.shortTag() != 0 && !settling()) {
            listener.tell(MemberChanges.between(before, after, listing.version()));
        }
    }
}
