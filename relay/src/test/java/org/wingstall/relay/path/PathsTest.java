package org.wingstall.relay.path;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.route.EndpointIdentity;
import org.wingstall.net.http.Connector;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.schema.platform.Member;

/** Connections go through another box while the direct path is lost, and endpoints that have failed are told from that. */
public class PathsTest implements Detours {
    private static final String DIRECT = "direct";
    private static final List<String> BOXES = List.of("box-1", "box-2");
    private static final int TIMEOUT_MS = 250;

    private final Set<String> refusing = ConcurrentHashMap.newKeySet();
    private final Set<String> silent = ConcurrentHashMap.newKeySet();
    private final Set<String> failed = ConcurrentHashMap.newKeySet();
    private final List<String> lost = new CopyOnWriteArrayList<>();
    private final List<String> opened = new CopyOnWriteArrayList<>();
    private EventLoop loop;
    private RelayEndpoints endpoints;
    private EndpointPaths paths;
    private PathConnector connector;

    /** How the direct path to an endpoint fails. */
    public enum Fault {
        /** Connections are refused at once. */
        REFUSED,
        /** Connections don't come up. */
        SILENT
    }

    @BeforeMethod
    public void create() {
        Stream.of(refusing, silent, failed).forEach(Set::clear);
        lost.clear();
        opened.clear();
        loop = new DefaultEventLoop();
        endpoints = new RelayEndpoints(System::nanoTime);
        endpoints.applyList(
                List.of(entry("a", 1, "east"), entry("b", 2, "east"), entry("c", 3, "west"), entry("d", 4, "west")));
        Connector direct = this::connectDirect;
        paths = new EndpointPaths(loop, System::nanoTime, endpoints, direct, this, endpoint -> lost.add(endpoint.id()));
        connector = new PathConnector(System::nanoTime, endpoints, paths, direct, this);
        paths.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        loop.shutdownGracefully();
    }

    private static Member entry(String id, int port, String domain) {
        String address = "127.0.0.1:" + port;
        return new Member(id, Member.Kind.ENDPOINT, domain, address, "plain", "v1", Member.State.LIVE, 1, 4, 0);
    }

    private RelayEndpoint endpoint(String id) {
        return endpoints.find(id).orElseThrow();
    }

    private void connectDirect(EventLoop on, InetSocketAddress address, int timeoutMs, Connector.Listener listener) {
        String id = endpoints.findByAddress(address).orElseThrow().id();
        opened.add(DIRECT + "-" + id);
        if (refusing.contains(id) || failed.contains(id)) {
            on.execute(() -> listener.failed(new IOException("refused")));
        } else if (silent.contains(id)) {
            on.schedule(() -> listener.failed(new IOException("timeout")), timeoutMs, TimeUnit.MILLISECONDS);
        } else {
            on.execute(() -> listener.connected(channel(DIRECT)));
        }
    }

    @Override
    public List<String> boxesFor(EndpointIdentity endpoint) {
        return BOXES;
    }

    @Override
    public void open(String boxId, EndpointIdentity endpoint, int timeoutMs, Connector.Listener listener) {
        opened.add(boxId + "-" + endpoint.memberId());
        if (failed.contains(endpoint.memberId()) || failed.contains(boxId)) {
            loop.execute(() -> listener.failed(new IOException("not reached")));
        } else {
            loop.execute(() -> listener.connected(channel(boxId)));
        }
    }

    private static Channel channel(String way) {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.attr(Connector.VIA_BOX).set(way);
        return channel;
    }

    private void cut(Fault fault, String... ids) {
        (fault == Fault.SILENT ? silent : refusing).addAll(List.of(ids));
    }

    /** Connects to an endpoint and returns the way, or "failed". */
    private String connect(String id) throws InterruptedException {
        BlockingQueue<String> result = new LinkedBlockingQueue<>();
        loop.execute(
                () -> connector.connect(loop, endpoint(id).identity().address(), TIMEOUT_MS, new Connector.Listener() {
                    @Override
                    public void connected(Channel channel) {
                        result.add(channel.attr(Connector.VIA_BOX).get());
                    }

                    @Override
                    public void failed(Throwable cause) {
                        result.add("failed");
                    }
                }));
        return result.poll(5, TimeUnit.SECONDS);
    }

    @DataProvider
    Object[][] faults() {
        return new Object[][] {{Fault.REFUSED}, {Fault.SILENT}};
    }

    @Test(dataProvider = "faults")
    public void aConnectionGoesThroughAnotherBoxAndAllLostPathsAreFound(Fault fault) throws InterruptedException {
        cut(fault, "a", "b", "c");
        assertEquals(connect("a"), "box-1");
        Awaitility.await().untilAsserted(() -> assertEquals(Set.copyOf(lost), Set.of("a", "b", "c")));
        opened.clear();
        assertEquals(connect("b"), "box-1");
        assertTrue(opened.contains("box-1-b"), opened.toString());
        assertEquals(connect("d"), DIRECT);
    }

    @Test(dataProvider = "faults")
    public void anEndpointThatFailedIsNotTakenForALostPath(Fault fault) throws InterruptedException {
        cut(fault, "a");
        failed.add("a");
        for (int i = 0; i < 3; i++) {
            assertEquals(connect("a"), "failed");
        }
        assertEquals(lost, List.of());
        assertFalse(paths.anyLost());
    }

    @Test(dataProvider = "faults")
    public void aLostPathIsUsedAgainOnceItIsBack(Fault fault) throws InterruptedException {
        cut(fault, "a", "b", "c", "d");
        assertEquals(connect("a"), "box-1");
        Awaitility.await().until(() -> paths.lostPaths() == 4);
        refusing.clear();
        silent.clear();
        Awaitility.await().until(() -> paths.lostPaths() == 0);
        assertEquals(connect("a"), DIRECT);
    }

    @Test
    public void oneLostPacketDoesNotLoseThePath() throws InterruptedException {
        cut(Fault.SILENT, "a");
        assertEquals(connect("a"), "box-1");
        silent.clear();
        assertEquals(connect("a"), DIRECT);
        Awaitility.await()
                .until(() -> opened.stream().filter("direct-a"::equals).count() >= 2);
        assertEquals(lost, List.of());
    }

    @Test
    public void theNextBoxIsTriedWhenOneDoesNotReachTheEndpoint() throws InterruptedException {
        cut(Fault.REFUSED, "a");
        failed.add("box-1");
        assertEquals(connect("a"), "box-2");
    }

    @Test
    public void aLostPathIsTriedWhenNoOtherBoxReachesTheEndpoint() throws InterruptedException {
        cut(Fault.REFUSED, "a");
        assertEquals(connect("a"), "box-1");
        Awaitility.await().until(() -> paths.lostPaths() == 1);
        failed.addAll(BOXES);
        refusing.clear();
        assertEquals(connect("a"), DIRECT);
    }
}
