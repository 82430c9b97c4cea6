package org.wingstall.relay.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.member.MemberListDiff;
import org.wingstall.core.member.MemberSnapshot;
import org.wingstall.core.member.StoreVersion;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.wire.EndpointSource;
import org.wingstall.relay.wire.SourceException;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.platform.Member;

public class ListFollowerTest implements ListFollower.ChangeListener {
    private static final long VERSION = 100;
    private static final long ERA = 2;

    private AtomicInteger reads;
    private AtomicInteger changes;
    private List<MemberNews> told;
    private EventLoop loop;
    private RelayEndpoints table;
    private ListFollower follower;
    private volatile EndpointSource.Listing stored;
    private volatile boolean down;
    private volatile CompletableFuture<EndpointSource.Listing> pending;

    /** Starts a box that relies on announced changes, after the first read that every box makes. */
    @BeforeMethod
    public void start() throws Exception {
        reads = new AtomicInteger();
        changes = new AtomicInteger();
        told = new CopyOnWriteArrayList<>();
        down = false;
        stored = new EndpointSource.Listing(List.of(entry("a", false)), version(0));
        loop = new DefaultEventLoop();
        table = new RelayEndpoints(System::nanoTime);
        follower = new ListFollower(loop, this::read, table, () -> false, System::nanoTime, 60_000, this);
        follower.start();
        settle();
        assertEquals(reads.get(), 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        loop.shutdownGracefully();
    }

    private CompletableFuture<EndpointSource.Listing> read() {
        reads.incrementAndGet();
        if (pending != null) {
            return pending;
        }
        return down
                ? CompletableFuture.failedFuture(new SourceException(SourceException.Kind.REFUSED, "down"))
                : CompletableFuture.completedFuture(stored);
    }

    private static Member entry(String id, boolean leaving) {
        Member.State state = leaving ? Member.State.LEAVING : Member.State.LIVE;
        return new Member(id, Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "plain", "v1", state, 1, 4, 0);
    }

    private static StoreVersion version(long later) {
        return new StoreVersion(ERA, VERSION + later);
    }

    private static MemberSnapshot list(Member... members) {
        return MemberSnapshot.withContentTag(List.of(members));
    }

    @Override
    public void changed() {
        changes.incrementAndGet();
    }

    @Override
    public void announce(MemberNews news) {
        told.add(news);
    }

    /** Runs the tasks of the loop and those that they submit; they run in order, so a few rounds are enough. */
    private void settle() throws Exception {
        for (int i = 0; i < 10; i++) {
            loop.submit(() -> {}).sync();
        }
    }

    private boolean leaves(String id) {
        return table.ofService("plain").stream()
                .anyMatch(
                        endpoint -> endpoint.id().equals(id) && endpoint.state().leaving());
    }

    @Test
    public void aSourceThatDoesNotAnswerIsNotReadAnew() throws Exception {
        down = true;
        assertFalse(follower.readAnew().get());
        int before = reads.get();
        assertFalse(follower.readAnew().get());
        assertEquals(reads.get(), before);
    }

    @Test
    public void aReadThatIsInProgressDoesNotCountAsANewOne() throws Exception {
        CompletableFuture<EndpointSource.Listing> inProgress = new CompletableFuture<>();
        pending = inProgress;
        follower.onPeerList(list(entry("b", false)).shortTag(), version(5));
        settle();
        CompletableFuture<Boolean> anew = follower.readAnew();
        settle();
        pending = null;
        int before = reads.get();
        assertFalse(anew.isDone());
        stored = new EndpointSource.Listing(List.of(entry("a", true)), version(7));
        inProgress.complete(new EndpointSource.Listing(List.of(entry("a", false)), version(6)));
        settle();
        assertEquals(reads.get(), before + 1);
        assertTrue(anew.isDone() && anew.join());
        assertTrue(leaves("a"));
    }

    @Test
    public void aListThatAPeerHasAndThisBoxHasNotIsRead() throws Exception {
        stored = new EndpointSource.Listing(List.of(entry("a", true)), version(7));
        follower.onPeerList(list(entry("a", true)).shortTag(), version(5));
        settle();
        assertEquals(reads.get(), 2);
        assertTrue(leaves("a"));
        assertEquals(follower.listVersion(), version(7));
    }

    @DataProvider
    Object[][] listsOfPeers() {
        return new Object[][] {
            {"the same list, seen later", list(entry("a", false)).shortTag(), version(9)},
            {"an older list", list(entry("a", false), entry("b", false)).shortTag(), version(-5)},
            {"none", 0, version(9)},
        };
    }

    @Test(dataProvider = "listsOfPeers")
    public void aListThatIsNotNewerIsNotRead(String name, int tag, StoreVersion version) throws Exception {
        follower.onPeerList(tag, version);
        settle();
        assertEquals(reads.get(), 1);
    }

    @Test
    public void aChangeThatAPeerTellsIsTakenInWithoutARead() throws Exception {
        MemberSnapshot after = list(entry("a", true), entry("b", false));
        follower.onPeerChange(MemberListDiff.between(list(entry("a", false)), after, version(3)));
        settle();
        assertEquals(reads.get(), 1);
        assertTrue(leaves("a"));
        assertEquals(table.ofService("plain").size(), 2);
        assertEquals(changes.get(), 2);
        assertEquals(told, List.of());
    }

    @Test
    public void aChangeOfAListThatThisBoxLacksIsReadInstead() throws Exception {
        stored = new EndpointSource.Listing(List.of(entry("c", false)), version(9));
        MemberSnapshot other = list(entry("b", false));
        follower.onPeerChange(MemberListDiff.between(other, list(entry("c", false)), version(8)));
        settle();
        assertEquals(reads.get(), 2);
        assertEquals(table.ofService("plain").get(0).id(), "c");
    }

    @Test
    public void aChangeThatWasReadMeanwhileIsPassedOver() throws Exception {
        MemberSnapshot other = list(entry("b", false));
        follower.onPeerChange(MemberListDiff.between(other, list(entry("a", false)), version(-1)));
        settle();
        assertEquals(reads.get(), 1);
        assertEquals(table.ofService("plain").get(0).id(), "a");
    }

    @Test
    public void aChangeThatThisBoxReadsIsTold() throws Exception {
        stored = new EndpointSource.Listing(List.of(entry("a", false), entry("b", false)), version(7));
        follower.onPeerList(1, version(5));
        settle();
        assertEquals(told.size(), 1);
        assertEquals(told.get(0).getVersion(), VERSION + 7);
        assertEquals(told.get(0).getChanged().size(), 1);
    }

    @Test
    public void theVersionOfAListStaysWhileItDoes() throws Exception {
        stored = new EndpointSource.Listing(stored.members(), version(50));
        follower.onPeerList(1, version(1));
        settle();
        assertEquals(follower.listVersion(), version(0));
        assertEquals(changes.get(), 1);
    }

    @Test
    public void aBoxThatGetsNoAnswerVouchesForNoList() throws Exception {
        down = true;
        follower.onPeerList(1, version(1));
        settle();
        assertEquals(follower.freshTag(), 0);
        assertTrue(follower.sourceUnavailable());
    }

    /** A box whose reads the store rejected for 9 s read at every heartbeat of every hub, 20 times a second. */
    @Test
    public void aStoreThatGivesNoAnswerIsNotAskedWithEveryHeartbeat() throws Exception {
        down = true;
        for (int i = 0; i < 20; i++) {
            follower.onPeerList(1, version(1));
            settle();
        }
        assertEquals(reads.get(), 2);
    }

    @Test
    public void changesToldWhileTheStoreGivesNoAnswerAreLeftToThisBoxsOwnReads() throws Exception {
        down = true;
        follower.onPeerList(1, version(1));
        settle();
        follower.onPeerChange(MemberListDiff.between(list(entry("a", false)), list(), version(3)));
        settle();
        assertEquals(table.ofService("plain").size(), 1);
    }

    private void restore(Member... members) throws Exception {
        stored = new EndpointSource.Listing(List.of(members), new StoreVersion(ERA + 1, 1));
        follower.onPeerList(1, new StoreVersion(ERA + 1, 1));
        settle();
    }

    /** The list of a restored store has a lower number; it was dropped until the numbers had caught up. */
    @Test
    public void aListOfARestoredStoreIsTakenInThoughItsNumberIsLower() throws Exception {
        restore(entry("a", true), entry("b", false));
        assertEquals(reads.get(), 2);
        assertTrue(leaves("a"));
        assertEquals(follower.listVersion(), new StoreVersion(ERA + 1, 1));
    }

    @Test
    public void aListFromBeforeARestoreThatArrivesLateIsDropped() throws Exception {
        restore(entry("a", true));
        stored = new EndpointSource.Listing(List.of(entry("a", false), entry("c", false)), version(50));
        follower.onPeerList(2, new StoreVersion(ERA + 1, 9));
        settle();
        assertEquals(reads.get(), 3);
        assertEquals(table.ofService("plain").size(), 1);
    }

    /** What the copy lacks may be written again, so a change on top of it does not follow on the list known before. */
    @Test
    public void aChangeToldOfARestoredStoreIsReadInstead() throws Exception {
        MemberSnapshot after = list(entry("a", false), entry("b", false));
        stored = new EndpointSource.Listing(after.members(), new StoreVersion(ERA + 1, 2));
        follower.onPeerChange(MemberListDiff.between(list(entry("a", false)), after, new StoreVersion(ERA + 1, 2)));
        settle();
        assertEquals(reads.get(), 2);
        assertEquals(follower.listVersion(), new StoreVersion(ERA + 1, 2));
    }

    /** Boxes of an earlier build tell no eras; what they tell belongs to the era that this box knows. */
    @Test
    public void aChangeToldWithoutAnEraIsTakenIn() throws Exception {
        MemberSnapshot after = list(entry("a", true));
        follower.onPeerChange(MemberListDiff.between(list(entry("a", false)), after, new StoreVersion(0, VERSION + 3)));
        settle();
        assertEquals(reads.get(), 1);
        assertTrue(leaves("a"));
        assertEquals(follower.listVersion(), version(3));
    }
}
