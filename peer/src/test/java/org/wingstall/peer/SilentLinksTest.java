package org.wingstall.peer;

import static org.testng.Assert.assertEquals;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.peer.Hello;
import org.wingstall.schema.peer.PeerFrame;
import org.wingstall.schema.peer.TunnelRequest;

public class SilentLinksTest {
    private static final long TICK_MS = 400;
    private static final long SILENT_AFTER_MS = 1300;
    private static final String PEER = "b";

    private long nowMs;
    private Set<String> seldom;
    private SilentLinks silence;
    private PeerLink link;
    private EmbeddedChannel channel;

    private static final class NoEvents implements PeerLink.LinkEvents {
        @Override
        public void opened(PeerLink link) {}

        @Override
        public void closed(PeerLink link) {}

        @Override
        public void frame(PeerLink link, PeerFrame frame) {}

        @Override
        public void tunnelRequested(PeerLink link, Channel channel, TunnelRequest request) {}
    }

    @BeforeMethod
    public void open() {
        nowMs = 0;
        seldom = Set.of();
        silence = new SilentLinks(
                SILENT_AFTER_MS,
                boxId -> seldom.contains(boxId),
                () -> TICK_MS,
                () -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        link = new PeerLink(new NoEvents(), hello("a"), null);
        channel = new EmbeddedChannel(silence.watch(link), link);
        channel.writeInbound(Frames.hello(hello(PEER)));
        for (int i = 0; i < 3; i++) {
            assertEquals(tick(), List.of());
            heartbeat();
        }
    }

    private static Hello hello(String boxId) {
        return new Hello(boxId, "east", "127.0.0.1:1", 1, 0, true, false);
    }

    private List<PeerLink> tick() {
        return after(TICK_MS);
    }

    private List<PeerLink> after(long ms) {
        nowMs += ms;
        return silence.check(TICK_MS);
    }

    private void heartbeat() {
        channel.writeInbound(Frames.memberNews(null));
        silence.heartbeat(link);
    }

    private int ticksUntilSilent() {
        int ticks = 1;
        while (tick().isEmpty()) {
            ticks++;
        }
        return ticks;
    }

    @Test
    public void aLinkIsSilentAfterFourHeartbeatsHaveNotCome() {
        assertEquals(ticksUntilSilent(), 5);
        assertEquals(silence.closed(), 1);
    }

    @Test
    public void aBoxThatBeatsSeldomMayBeSilentForLonger() {
        seldom = Set.of(PEER);
        assertEquals(ticksUntilSilent(), 21);
    }

    /** Boxes that don't know the same others yet may take a peer for one that beats often. */
    @Test
    public void aBoxThatHasShownToBeatSeldomMayBeSilentForLonger() {
        for (int i = 0; i < 3; i++) {
            tick();
        }
        nowMs += 200;
        heartbeat();
        after(200);
        assertEquals(ticksUntilSilent(), 20);
    }

    @DataProvider
    public Object[][] pauses() {
        return new Object[][] {{900L}, {5000L}, {60_000L}};
    }

    /** After a pause what waits may not have been read before the next tick. */
    @Test(dataProvider = "pauses")
    public void aBoxThatStoodStillClosesNoLinkBeforeItHasReadWhatWaits(long pauseMs) {
        tick();
        assertEquals(after(pauseMs), List.of());
        heartbeat();
        assertEquals(tick(), List.of());
        assertEquals(ticksUntilSilent(), 4);
    }

    /** A loop that is late at each tick reads late what peers that are late themselves have sent. */
    @Test
    public void aBusyBoxClosesNoLinkToABusyPeer() {
        for (int i = 0; i < 20; i++) {
            assertEquals(after(TICK_MS + 350), List.of());
            assertEquals(after(TICK_MS + 350), List.of());
            heartbeat();
        }
    }

    @Test
    public void aConnectionThatHasBecomeATunnelMayBeIdle() {
        silence.unwatch(link);
        for (int i = 0; i < 100; i++) {
            assertEquals(tick(), List.of());
        }
    }
}
