package org.wingstall.gateway.control;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.member.MemberListDiff;
import org.wingstall.core.member.MemberSnapshot;
import org.wingstall.core.member.StoreVersion;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.gateway.Metrics;
import org.wingstall.gateway.Metrics.ListSource;
import org.wingstall.net.log.LogEvent;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.platform.Member;
import org.wingstall.table.MembershipList;

/**
 * Follows the platform's membership list; keeps the last one while the platform does not answer.
 *
 * <p>A few boxes of a failure domain read the list and pass its changes on. The others read it only when none of those
 * vouches, by a heartbeat, for the very list that they have: because a change was lost on the way, because the readers are
 * gone or cut off, or because the platform gives the list no tags.
 *
 * <p>{@code follower.start(); MemberSnapshot list = follower.last();}
 *
 * @since 0.1
 */
public final class MemberFollower {
    private static final Logger LOG = LogManager.getLogger(MemberFollower.class);
    private static final int VOUCHES_FOR_INTERVALS = 3;
    private static final CompletableFuture<Void> NOTHING_TO_READ = CompletableFuture.completedFuture(null);

    private final MembershipList list;
    private final EventLoop loop;
    private final ListReaders readers;
    private final long vouchMs;
    private final MonotonicClock clock;
    private final Metrics metrics;
    private final Consumer<List<Member>> changed;
    private final Poller poller;
    private volatile MemberSnapshot last = MemberSnapshot.NONE;
    private boolean everRead;
    private long readAtMs;

    /**
     * Creates a follower.
     *
     * @param list the platform's list
     * @param readers the boxes of the failure domain that read the list for each other
     * @param loop the control loop
     * @param intervalMs time between two reads, in ms
     * @param clock monotonic clock
     * @param metrics counts lists by where they came from
     * @param changed told of each list; when it fails it is told again
     */
    public MemberFollower(
            MembershipList list,
            ListReaders readers,
            EventLoop loop,
            long intervalMs,
            MonotonicClock clock,
            Metrics metrics,
            Consumer<List<Member>> changed) {
        this.list = list;
        this.readers = readers;
        this.loop = loop;
        this.vouchMs = VOUCHES_FOR_INTERVALS * intervalMs;
        this.clock = clock;
        this.metrics = metrics;
        this.changed = changed;
        this.poller = new Poller("members", loop, intervalMs, this::poll);
    }

    /** Begins to follow. */
    public void start() {
        poller.start(0);
    }

    /** Returns the list last seen; {@link MemberSnapshot#NONE} when there was none. */
    public MemberSnapshot last() {
        return last;
    }

    /** Returns the short tag of the list if this box itself read it lately, else 0; on the control loop. */
    int tagReadLately() {
        boolean lately = everRead && clock.nowMs() - readAtMs <= vouchMs;
        return lately ? last.shortTag() : 0;
    }

    /** Takes in a list that a peer gave, if there is none yet. */
    void offerFromPeer(MemberSnapshot offered) {
        if (last.members().isEmpty() && !offered.members().isEmpty()) {
            take(offered, ListSource.PEER);
        }
    }

    /** Takes in a change that a peer read; one made for another list shows by the peer's next heartbeat. */
    void newsFromPeer(MemberNews news) {
        Optional<MemberSnapshot> next = MemberListDiff.apply(last, news);
        next.ifPresent(after -> take(after, ListSource.PEER));
    }

    private CompletableFuture<?> poll() {
        boolean othersReadIt = readers.tagsReadByOthers().contains(last.shortTag());
        if (othersReadIt && !readers.readsForOthers()) {
            return NOTHING_TO_READ;
        }
        MemberSnapshot known = last;
        return list.read(known).thenAcceptAsync(read -> takeFromPlatform(known, read), loop);
    }

    private void takeFromPlatform(MemberSnapshot before, MemberSnapshot read) {
        boolean peerWasFaster = last != before;
        if (peerWasFaster) {
            return;
        }
        boolean lost = read.members().isEmpty() && !before.members().isEmpty();
        if (lost) {
            LogEvent.warn("member-list-empty")
                    .with("kept", before.members().size())
                    .to(LOG);
            return;
        }
        everRead = true;
        readAtMs = clock.nowMs();
        if (read.equals(before)) {
            return;
        }
        take(read, ListSource.PLATFORM);
        if (before.shortTag() != 0) {
            readers.tell(MemberListDiff.between(before, read, StoreVersion.NONE));
        }
    }

    private void take(MemberSnapshot next, ListSource source) {
        changed.accept(next.members());
        last = next;
        metrics.memberList(source);
    }
}
