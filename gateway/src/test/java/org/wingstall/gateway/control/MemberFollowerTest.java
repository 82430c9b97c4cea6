package org.wingstall.gateway.control;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.core.member.MemberListDiff;
import org.wingstall.core.member.MemberSnapshot;
import org.wingstall.core.member.StoreVersion;
import org.wingstall.gateway.Metrics;
import org.wingstall.net.EventLoops;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.platform.Member;
import org.wingstall.table.MembershipList;
import org.wingstall.table.PlatformException;

public class MemberFollowerTest {
    private static final Duration BOUND = Duration.ofSeconds(20);
    private static final long NEVER_AGAIN_MS = 600_000;
    private static final MemberSnapshot FIRST = new MemberSnapshot("1", List.of(member("a")));
    private static final MemberSnapshot SECOND = new MemberSnapshot("2", List.of(member("a"), member("b")));

    private EventLoop loop;
    /** New for each test: the follower of the test before goes on reading until its loop has come to rest. */
    private ScriptedList list;

    private Domain domain;
    private List<List<Member>> told;

    private static Member member(String id) {
        return new Member(id, Member.Kind.ENDPOINT, "d", "127.0.0.1:1", "s", "c", Member.State.LIVE, 1, 0, 0);
    }

    /** Answers each read with the next result; the last one stays. */
    private static final class ScriptedList implements MembershipList {
        private final AtomicInteger reads = new AtomicInteger();
        private volatile List<CompletableFuture<MemberSnapshot>> answers = List.of();

        @Override
        public CompletableFuture<MemberSnapshot> read(MemberSnapshot known) {
            int read = reads.getAndIncrement();
            return answers.get(Math.min(read, answers.size() - 1));
        }
    }

    private static final class Domain implements ListReaders {
        private volatile boolean reader = true;
        private volatile Set<Integer> tags = Set.of();
        private final List<MemberNews> news = new CopyOnWriteArrayList<>();

        @Override
        public boolean readsForOthers() {
            return reader;
        }

        @Override
        public Set<Integer> tagsReadByOthers() {
            return tags;
        }

        @Override
        public void tell(MemberNews change) {
            news.add(change);
        }
    }

    @BeforeMethod
    public void createLoop() {
        loop = EventLoops.group("test", 1).next();
        list = new ScriptedList();
        domain = new Domain();
        told = new CopyOnWriteArrayList<>();
    }

    @AfterMethod(alwaysRun = true)
    public void stopLoop() {
        loop.shutdownGracefully();
    }

    private static CompletableFuture<MemberSnapshot> answer(MemberSnapshot snapshot) {
        return CompletableFuture.completedFuture(snapshot);
    }

    private static CompletableFuture<MemberSnapshot> noAnswer() {
        return CompletableFuture.failedFuture(
                new PlatformException(PlatformException.Kind.UNANSWERED, "no answer in time"));
    }

    private MemberFollower follower(long intervalMs, Consumer<List<Member>> changed) {
        return new MemberFollower(list, domain, loop, intervalMs, System::nanoTime, new Metrics(), changed);
    }

    private static void await(Runnable untilPasses) {
        Awaitility.await().atMost(BOUND).untilAsserted(untilPasses::run);
    }

    @Test
    public void aFailedReadIsRepeatedLongBeforeTheInterval() {
        list.answers = List.of(noAnswer(), answer(FIRST));
        MemberFollower follower = follower(NEVER_AGAIN_MS, told::add);
        follower.start();
        await(() -> assertEquals(follower.last(), FIRST));
    }

    @Test
    public void aListenerThatFailsOnceIsToldAgain() {
        list.answers = List.of(answer(FIRST));
        AtomicInteger calls = new AtomicInteger();
        MemberFollower follower = follower(50, members -> {
            if (calls.getAndIncrement() == 0) {
                throw new IllegalArgumentException("a listener's fault");
            }
            told.add(members);
        });
        follower.start();
        await(() -> assertEquals(told, List.of(FIRST.members())));
    }

    @Test
    public void aReaderTellsTheOthersWhatChanged() {
        list.answers = List.of(answer(FIRST), answer(SECOND));
        follower(50, told::add).start();
        await(() -> assertEquals(domain.news, List.of(MemberListDiff.between(FIRST, SECOND, StoreVersion.NONE))));
    }

    @Test
    public void aBoxWhoseListOthersReadReadsItOnceOnly() {
        list.answers = List.of(answer(FIRST));
        domain.reader = false;
        domain.tags = Set.of(FIRST.shortTag());
        MemberFollower follower = follower(20, told::add);
        follower.start();
        await(() -> assertEquals(follower.last(), FIRST));
        int readsOfFirst = list.reads.get();
        List<MemberNews> news = new ArrayList<>(List.of(MemberListDiff.between(FIRST, SECOND, StoreVersion.NONE)));
        domain.tags = Set.of(FIRST.shortTag(), SECOND.shortTag());
        loop.execute(() -> follower.newsFromPeer(news.get(0)));
        await(() -> assertEquals(follower.last().tag(), SECOND.tag()));
        assertEquals(list.reads.get(), readsOfFirst);
    }

    @Test
    public void aBoxThatMissedAChangeReadsTheListItself() {
        list.answers = List.of(answer(FIRST), answer(SECOND));
        domain.reader = false;
        domain.tags = Set.of(SECOND.shortTag());
        MemberFollower follower = follower(50, told::add);
        follower.start();
        await(() -> assertEquals(follower.last(), SECOND));
    }

    @Test
    public void anAnswerFromBeforeAPeersNewsIsNotTaken() {
        CompletableFuture<MemberSnapshot> slow = new CompletableFuture<>();
        list.answers = List.of(answer(FIRST), slow, answer(SECOND));
        MemberFollower follower = follower(50, told::add);
        follower.start();
        await(() -> assertEquals(list.reads.get(), 2));
        loop.execute(() -> follower.newsFromPeer(MemberListDiff.between(FIRST, SECOND, StoreVersion.NONE)));
        await(() -> assertEquals(follower.last().tag(), SECOND.tag()));
        slow.complete(FIRST);
        await(() -> assertEquals(list.reads.get() > 2, true));
        assertEquals(follower.last().tag(), SECOND.tag());
        assertEquals(domain.news, List.of());
    }
}
