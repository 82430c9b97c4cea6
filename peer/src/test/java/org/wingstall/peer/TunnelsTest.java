package org.wingstall.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.peer.LinkPlan;
import org.wingstall.core.peer.LinkStrategy;
import org.wingstall.net.EventLoops;
import org.wingstall.net.http.Connector;
import org.wingstall.schema.peer.Heartbeat;
import org.wingstall.schema.peer.Hello;
import org.wingstall.schema.peer.MemberNews;
import org.wingstall.schema.peer.TunnelRequest;

/** Tunnels pass bytes on unchanged and tell the orderly end of the endpoint's side from any other end. */
public class TunnelsTest {
    private static final long INCARNATION = 3;
    private static final int LARGE_BYTES = 40 << 20;

    private final List<EventLoopGroup> groups = new ArrayList<>();
    private ServerSocket endpoint;
    private PeerMesh user;
    private PeerMesh carrier;
    private EventLoop userLoop;

    /** What the user of a tunnel receives. */
    private static final class Receiver extends ChannelInboundHandlerAdapter {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private final AtomicLong count = new AtomicLong();
        private final BlockingQueue<String> end = new LinkedBlockingQueue<>();

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            byte[] part = ByteBufUtil.getBytes((ByteBuf) message);
            ((ByteBuf) message).release();
            count.addAndGet(part.length);
            if (count.get() < LARGE_BYTES) {
                bytes.writeBytes(part);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end.add("orderly");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            end.add(cause.getClass().getSimpleName());
            ctx.close();
        }
    }

    /** The state of a box without configuration. */
    private static final class EmptyHost implements PeerHost {
        @Override
        public long revision() {
            return 0;
        }

        @Override
        public Heartbeat heartbeat() {
            return new Heartbeat(0, false, List.of(), List.of(), List.of(), false, 0, 0, 0, null, 0, 0, null, 0);
        }

        @Override
        public boolean heard(Heartbeat heartbeat) {
            return false;
        }

        @Override
        public void membersChanged(MemberNews news) {}
    }

    private static final class AllLinked implements LinkStrategy {
        @Override
        public Set<String> linksOf(
                LinkPlan.Box self, Collection<LinkPlan.Box> reachable, Collection<LinkPlan.Box> known) {
            return Set.of("user", "carrier");
        }

        @Override
        public Set<String> hubs(LinkPlan.Box self, Collection<LinkPlan.Box> reachable) {
            return Set.of();
        }
    }

    @BeforeMethod
    public void start() throws Exception {
        endpoint = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        user = mesh("user");
        userLoop = groups.get(0).next();
        carrier = mesh("carrier");
        carrier.tunnels()
                .attach((id, incarnation) -> id.equals("e1") && incarnation == INCARNATION
                        ? Optional.of((InetSocketAddress) endpoint.getLocalSocketAddress())
                        : Optional.empty());
        carrier.start();
        user.start();
        user.applyBoxes(Map.of(new LinkPlan.Box("carrier", "east"), addresses.get(1)));
        Awaitility.await().until(() -> user.peers().heard("carrier"));
    }

    private final List<InetSocketAddress> addresses = new ArrayList<>();

    private PeerMesh mesh(String boxId) throws IOException {
        EventLoopGroup group = EventLoops.group(boxId, 1);
        groups.add(group);
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        addresses.add(address);
        Hello hello = new Hello(boxId, "east", "127.0.0.1:" + port, 1, 0, true, false);
        PeerOptions options = new PeerOptions(hello, address, List.of(), 50, 1000, 300_000, new AllLinked());
        return new PeerMesh(options, new EmptyHost(), group.next(), System::nanoTime);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        groups.forEach(EventLoopGroup::shutdownGracefully);
        groups.clear();
        addresses.clear();
        endpoint.close();
    }

    /** Opens a tunnel; returns its channel or the failure. */
    private Object open(String endpointId, long incarnation, Receiver receiver) throws InterruptedException {
        BlockingQueue<Object> result = new LinkedBlockingQueue<>();
        Connector.Listener listener = new Connector.Listener() {
            @Override
            public void connected(Channel channel) {
                channel.pipeline().addLast(receiver);
                result.add(channel);
            }

            @Override
            public void failed(Throwable cause) {
                result.add(cause);
            }
        };
        userLoop.execute(
                () -> user.tunnels().open("carrier", new TunnelRequest(endpointId, incarnation), 1000, listener));
        return result.poll(5, TimeUnit.SECONDS);
    }

    @Test
    public void bytesArriveUnchangedBothWaysAndTheEndIsOrderly() throws Exception {
        Receiver receiver = new Receiver();
        Channel tunnel = (Channel) open("e1", INCARNATION, receiver);
        tunnel.writeAndFlush(Unpooled.copiedBuffer("question".getBytes()));
        try (Socket accepted = endpoint.accept()) {
            assertEquals(new String(accepted.getInputStream().readNBytes(8)), "question");
            accepted.getOutputStream().write("answer".getBytes());
        }
        assertEquals(receiver.end.poll(5, TimeUnit.SECONDS), "orderly");
        assertEquals(receiver.bytes.toString(), "answer");
        Awaitility.await().until(() -> carrier.tunnels().carried() == 0);
    }

    /** An answer that ends with its connection looked whole when the box on the way, or the endpoint, broke it off. */
    @Test
    public void aConnectionThatIsResetDoesNotEndInOrder() throws Exception {
        Receiver receiver = new Receiver();
        open("e1", INCARNATION, receiver);
        try (Socket accepted = endpoint.accept()) {
            accepted.getOutputStream().write("half".getBytes());
            accepted.setSoLinger(true, 0);
        }
        assertEquals(receiver.end.poll(5, TimeUnit.SECONDS), TunnelException.class.getSimpleName());
    }

    @Test
    public void theLossOfTheBoxOnTheWayIsNotTheOrderlyEnd() throws Exception {
        Receiver receiver = new Receiver();
        open("e1", INCARNATION, receiver);
        try (Socket accepted = endpoint.accept()) {
            accepted.getOutputStream().write("half".getBytes());
            Awaitility.await().until(() -> receiver.count.get() > 0);
            groups.get(1).shutdownGracefully(0, 1, TimeUnit.SECONDS);
            assertEquals(receiver.end.poll(5, TimeUnit.SECONDS), TunnelException.class.getSimpleName());
        }
    }

    @Test
    public void theEndpointIsLeftWhenTheUserCloses() throws Exception {
        Channel tunnel = (Channel) open("e1", INCARNATION, new Receiver());
        try (Socket accepted = endpoint.accept()) {
            tunnel.close();
            assertEquals(accepted.getInputStream().read(), -1);
        }
    }

    @Test
    public void aUserThatDoesNotReadHoldsTheEndpointUp() throws Exception {
        Receiver receiver = new Receiver();
        Channel tunnel = (Channel) open("e1", INCARNATION, receiver);
        tunnel.config().setAutoRead(false);
        try (Socket accepted = endpoint.accept()) {
            AtomicLong written = new AtomicLong();
            Thread writer = new Thread(() -> write(accepted, written));
            writer.start();
            Awaitility.await().pollDelay(500, TimeUnit.MILLISECONDS).until(() -> stalled(written));
            assertTrue(written.get() < LARGE_BYTES, "written " + written);
            tunnel.config().setAutoRead(true);
            Awaitility.await().until(() -> receiver.count.get() == LARGE_BYTES);
            writer.join();
        }
    }

    private static boolean stalled(AtomicLong written) {
        long before = written.get();
        Awaitility.await().pollDelay(300, TimeUnit.MILLISECONDS).until(() -> true);
        return written.get() == before;
    }

    private static void write(Socket socket, AtomicLong written) {
        byte[] part = new byte[1 << 16];
        try {
            while (written.get() < LARGE_BYTES) {
                socket.getOutputStream().write(part);
                written.addAndGet(part.length);
            }
        } catch (IOException e) {
            written.set(-1);
        }
    }

    @DataProvider
    Object[][] unknown() {
        return new Object[][] {{"e2", INCARNATION}, {"e1", INCARNATION + 1}};
    }

    @Test(dataProvider = "unknown")
    public void anEndpointThatIsNotReachedIsRefused(String endpointId, long incarnation) throws Exception {
        assertTrue(open(endpointId, incarnation, new Receiver()) instanceof TunnelException);
    }
}
