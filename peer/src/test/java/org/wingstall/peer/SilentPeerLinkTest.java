package org.wingstall.peer;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.peer.LinkPlan;
import org.wingstall.core.peer.LinkStrategy;
import org.wingstall.net.EventLoops;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.Hello;
import org.wingstall.schema.peer.MemberNews;

/** A box stayed deaf to a peer for good after their link had gone silent without a reset. */
public class SilentPeerLinkTest {
    private static final long HEARTBEAT_MS = 100;
    private static final long SILENT_AFTER_MS = 1000;

    /** Time within which a change has to be in force. */
    private static final Duration BOUND = Duration.ofMillis(2000);

    private final List<Box> boxes = new ArrayList<>();

    private static final class AllLinked implements LinkStrategy {
        @Override
        public Set<String> linksOf(
                LinkPlan.Box self, Collection<LinkPlan.Box> reachable, Collection<LinkPlan.Box> known) {
            return Set.of("a", "b");
        }

        @Override
        public Set<String> hubs(LinkPlan.Box self, Collection<LinkPlan.Box> reachable) {
            return Set.of();
        }
    }

    /** A box that others reach through a proxy. */
    private static final class Box implements PeerHost {
        private final String id;
        private final EventLoopGroup group;
        private final SilentProxy proxy;
        private final PeerMesh mesh;
        private volatile long revision = 1;

        Box(String id) throws IOException {
            this.id = id;
            group = EventLoops.group(id, 1);
            InetSocketAddress listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
            proxy = new SilentProxy(listen.getPort());
            String address = "127.0.0.1:" + proxy.address().getPort();
            Hello hello = new Hello(id, "east", address, 1, 0, true, false);
            PeerOptions options =
                    new PeerOptions(hello, listen, List.of(), HEARTBEAT_MS, SILENT_AFTER_MS, 300_000, new AllLinked());
            mesh = new PeerMesh(options, this, group.next(), System::nanoTime);
        }

        private static int freePort() throws IOException {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                return free.getLocalPort();
            }
        }

        void learnOf(Box other) {
            mesh.applyBoxes(Map.of(new LinkPlan.Box(other.id, "east"), other.proxy.address()));
        }

        boolean knowsRevisionOf(Box other) {
            return mesh.peers().all().stream()
                    .anyMatch(peer -> peer.hello().getBoxId().equals(other.id) && peer.revision() == other.revision);
        }

        @Override
        public long revision() {
            return revision;
        }

        @Override
        public Heartbeat heartbeat() {
            return new Heartbeat(revision, false, List.of(), List.of(), List.of(), false, 0, 0, 0, null, 0, 0, null, 0);
        }

        @Override
        public boolean heard(Heartbeat heartbeat) {
            return false;
        }

        @Override
        public void membersChanged(MemberNews news) {}
    }

    @BeforeMethod
    public void start() throws Exception {
        boxes.clear();
        boxes.add(new Box("a"));
        boxes.add(new Box("b"));
        for (Box box : boxes) {
            box.mesh.start();
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        for (Box box : boxes) {
            box.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            box.proxy.close();
        }
    }

    private void link(int dialling) {
        Box first = boxes.get(dialling);
        Box other = boxes.get(1 - dialling);
        first.learnOf(other);
        Awaitility.await().until(() -> first.knowsRevisionOf(other) && other.knowsRevisionOf(first));
    }

    /** Tells news of both boxes, which have to arrive in time. */
    private void assertNewsArrive(Duration bound) {
        boxes.forEach(box -> box.revision++);
        Awaitility.await()
                .atMost(bound)
                .until(() -> boxes.get(0).knowsRevisionOf(boxes.get(1))
                        && boxes.get(1).knowsRevisionOf(boxes.get(0)));
    }

    @DataProvider
    public Object[][] silences() {
        List<Object[]> cases = new ArrayList<>();
        for (int dialling : new int[] {0, 1}) {
            cases.add(new Object[] {dialling, EnumSet.allOf(SilentProxy.Direction.class)});
            cases.add(new Object[] {dialling, EnumSet.of(SilentProxy.Direction.TO_CLIENT)});
            cases.add(new Object[] {dialling, EnumSet.of(SilentProxy.Direction.TO_TARGET)});
        }
        return cases.toArray(Object[][]::new);
    }

    @Test(dataProvider = "silences")
    public void aLinkThatGoesSilentIsReplaced(int dialling, Set<SilentProxy.Direction> silent) {
        link(dialling);
        // A link shows by its first heartbeats that they come with each tick.
        for (int i = 0; i < 4; i++) {
            assertNewsArrive(BOUND);
        }
        boxes.forEach(box -> box.proxy.silenceOpen(silent));
        for (int i = 0; i < 4; i++) {
            assertNewsArrive(BOUND);
        }
    }
}
