package org.wingstall.relay.control;

import static org.testng.Assert.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.config.ClientLimits;
import org.wingstall.relay.config.Evacuations;
import org.wingstall.relay.config.RelayConfig;
import org.wingstall.relay.wire.ConfigSource;
import org.wingstall.relay.wire.OperatorState;
import org.wingstall.relay.wire.SourceException;

public class RelayConfigFollowerTest {
    private RelayState state;
    private final EvacuationState evacuations = new EvacuationState(System::nanoTime, domains -> {});
    private final AtomicInteger wholeReads = new AtomicInteger();
    private EventLoop loop;
    private volatile long stored;
    private volatile boolean away;
    private RelayConfigFollower follower;

    /** Answers full reads, but never the wait for changes, as on a connection that no longer delivers data. */
    @BeforeMethod
    public void start() throws Exception {
        loop = new DefaultEventLoop();
        state = new RelayState(System::nanoTime);
        stored = 1;
        away = false;
        follower = follower(state);
        follower.start();
        settle();
        assertEquals(state.config().version(), 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        loop.shutdownGracefully();
    }

    private RelayConfigFollower follower(RelayState into) {
        return new RelayConfigFollower(
                loop,
                this::read,
                into,
                evacuations,
                new ConfigFreshness(System::nanoTime, 2000),
                System::nanoTime,
                1300,
                () -> false);
    }

    private CompletableFuture<OperatorState> read(boolean whole) {
        if (!whole) {
            return new CompletableFuture<>();
        }
        wholeReads.incrementAndGet();
        if (stored == 0) {
            return CompletableFuture.completedFuture(news(Optional.empty()));
        }
        if (away) {
            return CompletableFuture.failedFuture(new SourceException(SourceException.Kind.REFUSED, "away"));
        }
        return CompletableFuture.completedFuture(news(Optional.of(config(stored))));
    }

    private static OperatorState news(Optional<RelayConfig> config) {
        return new OperatorState(config, Evacuations.UNKNOWN);
    }

    private static RelayConfig config(long version) {
        return new RelayConfig(version, List.of(), List.of(), Map.of(), false, ClientLimits.DEFAULTS);
    }

    /** Runs the tasks of the loop and those that they submit; they run in order, so a few rounds are enough. */
    private void settle() throws Exception {
        for (int i = 0; i < 10; i++) {
            loop.submit(() -> {}).sync();
        }
    }

    @Test
    public void aVersionThatAPeerHasIsReadWhileTheWaitForChangesIsSilent() throws Exception {
        stored = 2;
        follower.onNewerVersion(2);
        settle();
        assertEquals(state.config().version(), 2);
    }

    @Test
    public void aVersionThatIsInForceIsNotReadAgain() throws Exception {
        int before = wholeReads.get();
        follower.onNewerVersion(1);
        settle();
        assertEquals(wholeReads.get(), before);
    }

    /** Hubs send the version 20 times a second in a large fleet. */
    @Test
    public void aStoreThatTurnsThisBoxAwayIsNotAskedWithEveryHeartbeat() throws Exception {
        int before = wholeReads.get();
        away = true;
        for (int i = 0; i < 20; i++) {
            follower.onNewerVersion(2);
            settle();
        }
        assertEquals(wholeReads.get(), before + 1);
    }

    @Test
    public void aVersionThatAPeerHasIsAskedForAgainAfterAWhile() throws Exception {
        away = true;
        follower.onNewerVersion(2);
        settle();
        away = false;
        stored = 2;
        Awaitility.await().untilAsserted(() -> {
            follower.onNewerVersion(2);
            assertEquals(state.config().version(), 2);
        });
    }

    @DataProvider
    public Object[][] silentWaits() {
        return new Object[][] {{"nobody confirms", false, false}, {"peers rely on this box", true, true}};
    }

    /**
     * A box waited for as long as its call may be held when its peers fell silent with its own connection, or when it
     * began to read for them meanwhile.
     */
    @Test(dataProvider = "silentWaits")
    public void aWaitForChangesIsInDoubtWhenTheStoreHasToBeAsked(String why, boolean peersConfirm, boolean reads) {
        RelayState own = new RelayState(System::nanoTime);
        CompletableFuture<OperatorState> wait = new CompletableFuture<>();
        ConfigSource silent = new ConfigSource() {
            @Override
            public CompletableFuture<OperatorState> next(boolean whole) {
                return whole ? CompletableFuture.completedFuture(news(Optional.of(config(1)))) : wait;
            }

            @Override
            public void doubtWait() {
                wait.complete(news(Optional.of(config(2))));
            }
        };
        ConfigFreshness freshness = new ConfigFreshness(System::nanoTime, 2000);
        if (peersConfirm) {
            loop.scheduleAtFixedRate(() -> freshness.confirmedByPeer(1), 0, 20, TimeUnit.MILLISECONDS);
        }
        new RelayConfigFollower(loop, silent, own, evacuations, freshness, System::nanoTime, 300, () -> reads).start();
        Awaitility.await()
                .atMost(Duration.ofSeconds(2))
                .until(() -> own.config().version() == 2);
    }

    /**
     * Boxes may start before there is a configuration. A box that repeated full reads until then made 35 calls within
     * its first second; the call that waits for a change returns the first version as well.
     */
    @Test
    public void aStoreWithoutConfigurationIsReadOnceAndThenWaitedFor() throws Exception {
        stored = 0;
        wholeReads.set(0);
        follower(new RelayState(System::nanoTime)).start();
        settle();
        assertEquals(wholeReads.get(), 1);
    }

    /**
     * The source passes over, from then on, what any of its answers had: a version in the second answer to the first read
     * was missing until the next one, if both answers came at once and the older one was read first.
     */
    @Test
    public void aVersionInTheSecondAnswerToTheFirstReadIsPutInForce() throws Exception {
        RelayState own = new RelayState(System::nanoTime);
        List<CompletableFuture<OperatorState>> reads = new CopyOnWriteArrayList<>();
        ConfigSource source = whole -> {
            CompletableFuture<OperatorState> answer = new CompletableFuture<>();
            reads.add(answer);
            return answer;
        };
        ConfigFreshness freshness = new ConfigFreshness(System::nanoTime, 2000);
        new RelayConfigFollower(loop, source, own, evacuations, freshness, System::nanoTime, 1300, () -> false).start();
        Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> reads.size() == 2);
        loop.submit(() -> {
                    reads.get(0).complete(news(Optional.of(config(1))));
                    reads.get(1).complete(news(Optional.of(config(2))));
                })
                .sync();
        settle();
        assertEquals(own.config().version(), 2);
    }
}
