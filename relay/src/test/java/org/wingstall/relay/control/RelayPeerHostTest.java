package org.wingstall.relay.control;

import static org.testng.Assert.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.core.member.StoreVersion;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.relay.config.Evacuations;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.schema.peer.MemberNews;

/** Tests that evacuations spread over peer links to boxes that the store does not answer. */
public class RelayPeerHostTest {
    private static final MonotonicClock CLOCK = System::nanoTime;

    private EventLoop loop;

    /** A box whose store never answers, and its peer host. */
    private static final class Box {
        private final EvacuationState evacuations = new EvacuationState(CLOCK, domains -> {});
        private final RelayPeerHost peers;

        Box(EventLoop loop) {
            ListFollower list = new ListFollower(
                    loop,
                    CompletableFuture::new,
                    new RelayEndpoints(CLOCK),
                    () -> true,
                    CLOCK,
                    1000,
                    new ListFollower.ChangeListener() {
                        @Override
                        public void changed() {}

                        @Override
                        public void announce(MemberNews news) {}
                    });
            peers = new RelayPeerHost(
                    new RelayState(System::nanoTime),
                    evacuations,
                    () -> false,
                    version -> {},
                    () -> list,
                    Set::of,
                    new ConfigFreshness(System::nanoTime, 2000));
        }

        Set<String> evacuated() {
            return evacuations.current().failureDomains();
        }
    }

    private Box reader;
    private Box cutOff;
    private Box behind;

    @BeforeMethod
    public void create() {
        loop = new DefaultEventLoop();
        reader = new Box(loop);
        cutOff = new Box(loop);
        behind = new Box(loop);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        loop.shutdownGracefully();
    }

    @Test
    public void aBoxThatTheStoreDoesNotAnswerLearnsOfEvacuationsOverLinks() {
        reader.evacuations.updateIfNewer(new Evacuations(new StoreVersion(1, 7), Set.of("east")), "store");
        cutOff.peers.heard(reader.peers.heartbeat());
        behind.peers.heard(cutOff.peers.heartbeat());
        assertEquals(behind.evacuated(), Set.of("east"));
        reader.evacuations.updateIfNewer(new Evacuations(new StoreVersion(1, 9), Set.of()), "store");
        behind.peers.heard(reader.peers.heartbeat());
        assertEquals(behind.evacuated(), Set.of());
    }

    /** The empty state of a box that has just started must not replace evacuations. */
    @Test
    public void aBoxThatKnowsNothingEndsNoEvacuation() {
        reader.evacuations.updateIfNewer(new Evacuations(new StoreVersion(1, 7), Set.of("east")), "store");
        reader.peers.heard(behind.peers.heartbeat());
        assertEquals(reader.evacuated(), Set.of("east"));
    }

    /** A box told others what it held after a restore as if the store said so, and they kept it for good. */
    @Test
    public void anEvacuationHeldAfterARestoreIsNotTold() {
        reader.evacuations.updateIfNewer(new Evacuations(new StoreVersion(1, 7), Set.of("east")), "store");
        reader.evacuations.updateIfNewer(new Evacuations(new StoreVersion(2, 3), Set.of()), "store");
        assertEquals(reader.evacuated(), Set.of("east"));
        behind.peers.heard(reader.peers.heartbeat());
        assertEquals(behind.evacuated(), Set.of());
    }
}
