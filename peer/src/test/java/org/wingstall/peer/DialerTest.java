package org.wingstall.peer;

import static org.testng.Assert.assertEquals;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Set;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.peer.LinkPlan;
import org.wingstall.core.peer.LinkStrategy;
import org.wingstall.net.EventLoops;
import org.wingstall.schema.peer.Hello;

/** Links are planned when other boxes are known or reached, and not with each of the heartbeats between. */
public class DialerTest {
    private static final LinkPlan.Box SELF = new LinkPlan.Box("a-1", "a", 36);
    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    private static final int DIALS_UNTIL_GONE = 3;

    private static final ChannelInitializer<SocketChannel> NO_LINKS = new ChannelInitializer<>() {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.close();
        }
    };

    private EventLoop loop;
    private Directory directory;
    private Dialer dialer;
    private int plans;

    @BeforeMethod
    public void create() {
        loop = EventLoops.group("dialer-test", 1).next();
        plans = 0;
        directory = new Directory();
        directory.applyBoxes(listed("a-2", "b-1"), SELF.boxId());
        Hello hello = new Hello(SELF.boxId(), SELF.failureDomain(), "127.0.0.1:2", 1, SELF.capacity(), true, false);
        PeerOptions options = new PeerOptions(hello, ADDRESS, List.of(), 400, 1300, 300_000, new CountedPlans());
        dialer = new Dialer(options, SELF, loop, directory, new HashMap<>(), address -> NO_LINKS);
        dialTenTimes();
        assertEquals(plans, 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        loop.shutdownGracefully();
    }

    private static List<Directory.Entry> listed(String... boxIds) {
        return List.of(boxIds).stream()
                .map(id -> new Directory.Entry(new LinkPlan.Box(id, id.substring(0, 1), 36), ADDRESS))
                .toList();
    }

    private void dialTenTimes() {
        for (int i = 0; i < 10; i++) {
            dialer.dialMissing();
        }
    }

    private final class CountedPlans implements LinkStrategy {
        @Override
        public Set<String> linksOf(
                LinkPlan.Box self, Collection<LinkPlan.Box> reachable, Collection<LinkPlan.Box> known) {
            plans++;
            return Set.of();
        }

        @Override
        public Set<String> hubs(LinkPlan.Box self, Collection<LinkPlan.Box> reachable) {
            return Set.of();
        }
    }

    /** A change of the directory, and how many plans it makes. */
    private interface Change {
        void of(Directory directory);
    }

    @DataProvider
    public Object[][] changes() {
        Directory.Entry known = listed("a-2").get(0);
        return new Object[][] {
            {"the same list read again", (Change) d -> d.applyBoxes(listed("b-1", "a-2"), SELF.boxId()), 0},
            {"another box listed", (Change) d -> d.applyBoxes(listed("a-2", "b-1", "c-1"), SELF.boxId()), 1},
            {"a box gone from the list", (Change) d -> d.applyBoxes(listed("a-2"), SELF.boxId()), 1},
            {"a hello of a box that is known", (Change) d -> d.learned(known.box(), known.address()), 0},
            {
                "a hello with other processor time",
                (Change) d -> d.learned(new LinkPlan.Box("a-2", "a", 150), known.address()),
                1
            },
            {"one dial that failed", (Change) d -> d.dialFailed(ADDRESS), 0},
            {"a box that can't be reached any more", (Change) DialerTest::loseAll, 1},
        };
    }

    private static void loseAll(Directory directory) {
        for (int i = 0; i < DIALS_UNTIL_GONE; i++) {
            directory.dialFailed(ADDRESS);
        }
    }

    @Test(dataProvider = "changes")
    public void linksArePlannedAnewWhenTheBoxesDiffer(String what, Change change, int plansMade) {
        change.of(directory);
        dialTenTimes();
        assertEquals(plans, 1 + plansMade, what);
    }

    @Test
    public void aBoxThatIsReachedAgainIsPlannedFor() {
        loseAll(directory);
        dialTenTimes();
        directory.dialSucceeded(ADDRESS);
        dialTenTimes();
        assertEquals(plans, 3);
    }
}
