package org.wingstall.relay.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.wire.EndpointSource;
import org.wingstall.relay.wire.SourceException;

public class ListFollowerTest {
    private static final long VERSION = 100;

    private AtomicInteger reads;
    private AtomicInteger changes;
    private EventLoop loop;
    private RelayEndpoints table;
    private ListFollower follower;
    private volatile EndpointSource.Listing stored;
    private volatile boolean down;

    /** A box that waits for word, after the first read that every box makes. */
    @BeforeMethod
    public void start() throws Exception {
        reads = new AtomicInteger();
        changes = new AtomicInteger();
        down = false;
        stored = new EndpointSource.Listing(List.of(entry("a", false)), VERSION);
        loop = new DefaultEventLoop();
        table = new RelayEndpoints(System::nanoTime);
        follower = new ListFollower(
                loop, this::read, table, () -> false, System::nanoTime, 60_000, changes::incrementAndGet);
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
        return down
                ? CompletableFuture.failedFuture(new SourceException(SourceException.Kind.REFUSED, "down"))
                : CompletableFuture.completedFuture(stored);
    }

    private static EndpointSource.Entry entry(String id, boolean leaving) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 9);
        return new EndpointSource.Entry(new EndpointIdentity(id, 1, "east", "plain", "v1", address), 4, leaving, 0);
    }

    /** Tasks of the loop run one after the other, so a few rounds end what they led to. */
    private void settle() throws Exception {
        for (int i = 0; i < 10; i++) {
            loop.submit(() -> {}).sync();
        }
    }

    @Test
    public void aChangeThatAPeerSawIsRead() throws Exception {
        stored = new EndpointSource.Listing(List.of(entry("a", true)), VERSION + 7);
        follower.peerSawChange((int) VERSION + 5);
        settle();
        assertEquals(reads.get(), 2);
        assertTrue(table.ofService("plain").get(0).state().leaving());
        assertEquals(follower.changedVersion(), VERSION + 7);
    }

    @Test
    public void whatThisBoxHasReadAlreadyIsNotReadAgain() throws Exception {
        follower.peerSawChange((int) VERSION);
        follower.peerSawChange((int) VERSION - 5);
        follower.peerSawChange(0);
        settle();
        assertEquals(reads.get(), 1);
    }

    @Test
    public void theVersionOfAChangeStaysWhileTheListDoes() throws Exception {
        stored = new EndpointSource.Listing(stored.entries(), VERSION + 50);
        follower.peerSawChange((int) VERSION + 1);
        settle();
        assertEquals(follower.changedVersion(), VERSION);
        assertEquals(changes.get(), 1);
    }

    @Test
    public void aBoxThatGetsNoAnswerTellsNoVersion() throws Exception {
        down = true;
        follower.peerSawChange((int) VERSION + 1);
        settle();
        assertEquals(follower.changedVersion(), 0);
        assertTrue(follower.unanswered());
    }
}
