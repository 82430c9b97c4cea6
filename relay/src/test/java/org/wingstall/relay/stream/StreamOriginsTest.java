package org.wingstall.relay.stream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.peer.StreamOriginLinks;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.relay.stream.StreamVersion.Source;
import org.wingstall.schema.peer.StreamOrigin;
import org.wingstall.schema.platform.Member;

/** A resumed stream went on at any version, because no box asked which one had begun it. */
public class StreamOriginsTest implements StreamOriginLinks, OriginHolders {
    private static final long LIFETIME_MS = 30_000;
    private static final long DEADLINE_MS = 8000;
    private static final long PATIENCE_MS = 1000;

    private final Map<String, List<StreamOrigin>> told = new ConcurrentHashMap<>();
    private final Map<String, Long> asked = new ConcurrentHashMap<>();
    private final List<StreamVersion> results = new CopyOnWriteArrayList<>();
    private final AtomicLong nowMs = new AtomicLong();
    private EventLoop loop;
    private RelayEndpoints endpoints;
    private StreamOrigins origins;
    private List<String> linked;
    private volatile boolean complete;
    private volatile StreamOrigins.ListRefresh list;

    @BeforeMethod
    public void create() {
        told.clear();
        asked.clear();
        results.clear();
        nowMs.set(1_000_000);
        linked = new ArrayList<>(List.of("b", "c"));
        complete = true;
        list = () -> CompletableFuture.completedFuture(true);
        loop = new DefaultEventLoop();
        MonotonicClock clock = () -> TimeUnit.MILLISECONDS.toNanos(nowMs.get());
        endpoints = new RelayEndpoints(clock);
        endpoints.applyList(List.of(engine("e1", "v1"), engine("e2", "v2")));
        origins = new StreamOrigins("a", loop, clock, this, this, endpoints, () -> list.read(), new RelayMetrics());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        loop.shutdownGracefully();
    }

    private static Member engine(String id, String version) {
        return new Member(id, Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "llm", version, Member.State.LIVE, 1, 64, 0);
    }

    private RelayEndpoint endpoint(String id) {
        return endpoints.find(id).orElseThrow();
    }

    @Override
    public boolean tell(String boxId, StreamOrigin origin) {
        told.computeIfAbsent(boxId, key -> new ArrayList<>()).add(origin);
        return linked.contains(boxId);
    }

    @Override
    public boolean ask(String boxId, long correlation, String streamId) {
        asked.put(boxId, correlation);
        return linked.contains(boxId);
    }

    @Override
    public boolean complete() {
        return complete;
    }

    @Override
    public List<String> holdersOf(String streamId) {
        return List.of("b");
    }

    @Override
    public List<String> reachable() {
        return linked;
    }

    @Override
    public boolean allReachable() {
        return linked.size() == 2;
    }

    private void find(String streamId, String workspace) {
        origins.find(
                new StreamOrigins.Query(streamId, workspace, Set.of("llm"), LIFETIME_MS, PATIENCE_MS), results::add);
    }

    private static Optional<StreamOrigin> origin(String box, int number, String workspace, String version) {
        return Optional.of(new StreamOrigin("s", box, number, workspace, "llm", version, 40, DEADLINE_MS));
    }

    private void reply(String box, Optional<StreamOrigin> origin) {
        origins.replied(box, asked.get(box), origin);
    }

    private StreamVersion result() {
        assertEquals(results.size(), 1);
        return results.get(0);
    }

    @Test
    public void aBoxKnowsTheStreamsThatItBeganAndTellsTheirHolders() {
        origins.began("s", "canteen", endpoint("e2"), DEADLINE_MS);
        find("s", "canteen");
        assertEquals(result().source(), Source.OWN_RECORD);
        assertEquals(result().version(), "v2");
        assertEquals(told.get("b").size(), 1);
        assertTrue(asked.isEmpty());
    }

    @Test
    public void theReplyOfTheBoxThatBeganTheStreamEndsTheSearch() {
        find("s", "canteen");
        reply("b", origin("b", 1, "canteen", "v1"));
        assertEquals(result().version(), "v1");
        assertEquals(result().source(), Source.PEER_RECORD);
    }

    /** A holder that was cut off for a moment may have missed a later endpoint of the same attempt. */
    @Test
    public void theLastEndpointOfAnAttemptCounts() {
        find("s", "canteen");
        reply("b", origin("gone", 1, "canteen", "v1"));
        assertTrue(results.isEmpty());
        reply("c", origin("gone", 2, "canteen", "v2"));
        assertEquals(result().version(), "v2");
    }

    @Test
    public void aRecordThatThisBoxHoldsIsComparedWithThoseOfOthers() {
        origins.told(origin("gone", 1, "canteen", "v1").orElseThrow());
        find("s", "canteen");
        reply("b", Optional.empty());
        reply("c", origin("gone", 2, "canteen", "v2"));
        assertEquals(result().version(), "v2");
    }

    /** Which workspace the record names, and whether some box gives no reply. */
    @DataProvider
    Object[][] unknownStreams() {
        return new Object[][] {{"canteen", "other", false}, {"canteen", null, true}, {"canteen", null, false}};
    }

    @Test(dataProvider = "unknownStreams")
    public void anUnknownStreamIsNeverGuessedAmongSeveralVersions(String asking, String recorded, boolean silent) {
        find("s", asking);
        reply("b", recorded == null ? Optional.empty() : origin("gone", 1, recorded, "v1"));
        if (!silent) {
            reply("c", Optional.empty());
        }
        Awaitility.await().until(() -> results.size() == 1);
        assertFalse(result().known());
        assertEquals(result().othersMayKnow(), silent);
    }

    /** A box that had just started took boxes that it had not heard of for boxes that don't exist. */
    @Test
    public void aBoxWaitsForLinksBeforeItCallsAStreamUnknown() {
        linked.clear();
        complete = false;
        loop.submit(() -> find("s", "canteen")).syncUninterruptibly();
        assertTrue(results.isEmpty());
        loop.execute(() -> linked.add("b"));
        Awaitility.await().pollInterval(Duration.ofMillis(10)).until(() -> {
            loop.submit(() -> replyIfAsked("b")).syncUninterruptibly();
            return results.size() == 1;
        });
        assertEquals(result().version(), "v1");
        assertEquals(result().source(), Source.PEER_RECORD);
    }

    /** A link opened between a question to other boxes and their replies, and its box was taken for one without a record. */
    @Test
    public void aBoxThatWasLinkedAfterTheQuestionIsAskedToo() {
        linked.remove("c");
        complete = false;
        loop.submit(() -> find("s", "canteen")).syncUninterruptibly();
        loop.submit(() -> {
                    linked.add("c");
                    complete = true;
                    reply("b", Optional.empty());
                })
                .syncUninterruptibly();
        assertTrue(results.isEmpty());
        Awaitility.await().pollInterval(Duration.ofMillis(10)).until(() -> {
            loop.submit(() -> replyIfAsked("c")).syncUninterruptibly();
            return results.size() == 1;
        });
        assertEquals(result().version(), "v1");
    }

    private void replyIfAsked(String box) {
        if (asked.containsKey(box)) {
            reply(box, origin("gone", 1, "canteen", "v1"));
        }
    }

    @Test
    public void aStreamThatABoxWithoutALinkMayKnowIsRefusedForNow() {
        linked.clear();
        complete = false;
        loop.submit(() -> find("s", "canteen")).syncUninterruptibly();
        nowMs.addAndGet(PATIENCE_MS);
        Awaitility.await().until(() -> results.size() == 1);
        assertFalse(result().known());
        assertTrue(result().othersMayKnow());
    }

    @Test
    public void withoutARecordTheOnlyVersionOfLateIsTaken() {
        linked.clear();
        endpoints.applyList(List.of(engine("e1", "v1")));
        for (long waitedMs = 0; waitedMs < LIFETIME_MS; waitedMs += 1000) {
            find("s", "canteen");
            assertFalse(results.get(results.size() - 1).known(), "after " + waitedMs + " ms");
            nowMs.addAndGet(1000);
            endpoints.markListCurrent();
        }
        int before = results.size();
        find("s", "canteen");
        Awaitility.await().until(() -> results.size() > before);
        assertEquals(results.get(results.size() - 1).source(), Source.SINGLE_VERSION);
        assertEquals(results.get(results.size() - 1).version(), "v1");
    }

    private void followOneVersion() {
        linked.clear();
        endpoints.applyList(List.of(engine("e1", "v1")));
        for (long followedMs = 0; followedMs <= 2 * LIFETIME_MS; followedMs += 1000) {
            nowMs.addAndGet(1000);
            endpoints.markListCurrent();
        }
    }

    @Test
    public void aVersionThatHasJoinedSinceTheLastListIsNotOverlooked() {
        followOneVersion();
        list = () -> {
            endpoints.applyList(List.of(engine("e1", "v1"), engine("e2", "v2")));
            return CompletableFuture.completedFuture(true);
        };
        find("s", "canteen");
        Awaitility.await().until(() -> results.size() == 1);
        assertFalse(result().known());
    }

    @DataProvider
    Object[][] unreadLists() {
        return new Object[][] {
            {CompletableFuture.completedFuture(false)},
            {CompletableFuture.failedFuture(new IOException("closed"))},
            {new CompletableFuture<Boolean>()},
        };
    }

    @Test(dataProvider = "unreadLists")
    public void anOnlyVersionThatNoListConfirmsIsNotTaken(CompletableFuture<Boolean> unread) {
        followOneVersion();
        list = () -> unread;
        find("s", "canteen");
        Awaitility.await().until(() -> results.size() == 1);
        assertFalse(result().known());
        assertTrue(result().othersMayKnow());
    }

    /** An answer that waited while the box stood still showed an old list as a new one. */
    @Test
    public void aListCountsFromTheTimeAtWhichItWasAskedFor() {
        followOneVersion();
        assertTrue(endpoints.onlyVersion(Set.of("llm"), LIFETIME_MS).isPresent());
        long askedMs = nowMs.get();
        nowMs.addAndGet(1900);
        endpoints.applyList(List.of(engine("e1", "v1")), askedMs);
        nowMs.addAndGet(1900);
        endpoints.applyList(List.of(engine("e1", "v1")), nowMs.get());
        assertTrue(endpoints.onlyVersion(Set.of("llm"), LIFETIME_MS).isEmpty());
    }

    /** Versions may have come and gone while the list was not read. */
    @Test
    public void aGapInTheListLeavesTheOnlyVersionUnknown() {
        endpoints.applyList(List.of(engine("e1", "v1")));
        nowMs.addAndGet(2 * LIFETIME_MS);
        endpoints.markListCurrent();
        linked.clear();
        find("s", "canteen");
        assertFalse(result().known());
    }

    @Test
    public void aBoxThatIsLinkedAgainIsToldWhatItHoldsForThisOne() {
        origins.began("s", "canteen", endpoint("e1"), DEADLINE_MS);
        origins.told(new StreamOrigin("t", "c", 1, "canteen", "llm", "v1", 0, DEADLINE_MS));
        told.clear();
        origins.linked("b");
        origins.linked("c");
        assertEquals(told.get("b").stream().map(StreamOrigin::getStreamId).toList(), List.of("s"));
        assertFalse(told.containsKey("c"));
    }

    @Test
    public void anOriginEndsWithItsStreamAndTheirNumberIsBounded() {
        origins.began("s", "canteen", endpoint("e1"), DEADLINE_MS);
        assertTrue(origins.asked("s").isPresent());
        nowMs.addAndGet(DEADLINE_MS + 2000);
        assertTrue(origins.asked("s").isEmpty());
        IntStream.range(0, 2 * StreamOriginTable.MAX_ORIGINS)
                .forEach(i -> origins.began("r" + i, "canteen", endpoint("e1"), DEADLINE_MS));
        assertEquals(origins.size(), StreamOriginTable.MAX_ORIGINS);
        assertTrue(origins.asked("r0").isEmpty());
    }
}
