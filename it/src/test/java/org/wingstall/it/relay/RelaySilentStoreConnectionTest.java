package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.member.Addresses;
import org.wingstall.it.harness.Pauses;
import org.wingstall.net.EventLoops;
import org.wingstall.net.http.HttpClient;
import org.wingstall.net.http.RepeatingClient;
import org.wingstall.platform.PlatformEndpointSource;
import org.wingstall.platform.StoreClient;
import org.wingstall.relay.wire.EndpointSource;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.ShippedSettings;
import org.wingstall.standin.fleet.WorkerStandin;
import org.wingstall.standin.proxy.Faults;
import org.wingstall.standin.proxy.Route;

/** A version came into force late where the open connections to the store had gone silent, with the shipped settings. */
public class RelaySilentStoreConnectionTest {
    private static final Path TEMPLATE = Path.of("..", "deploy", "relay.yaml.template");

    /** Time within which an acknowledged version is in force, in ms; bounds.config_apply_ms of the platform. */
    private static final long IN_FORCE_WITHIN_MS = 2000;

    /** Versions that are written over silent connections, one after the other. */
    private static final int ROUNDS = 6;

    /** Time within which a read has to be answered, in ms; that of gateways that start. */
    private static final long READ_WITHIN_MS = 2500;

    /** Connections that are idle at the same time. */
    private static final int IDLE = 4;

    private static final long POLL_MS = 20;
    private static final Duration SETTLED_WITHIN = Duration.ofSeconds(15);

    private final List<RelayBox> boxes = new ArrayList<>();
    private final List<Route> routes = new ArrayList<>();
    private EventLoopGroup proxies;
    private FleetStandin fleet;
    private long version = 1;

    @BeforeMethod
    public void start() throws Exception {
        proxies = EventLoops.group("proxies", 1);
        fleet = new FleetStandin();
        version = 1;
        serveVersions();
        fleet.configure(1, 1000);
    }

    /** Each version leads a route to another service, whose endpoint is known long before. */
    private void serveVersions() throws Exception {
        for (long future = 1; future <= ROUNDS + 1; future++) {
            String service = FleetStandin.serviceOfVersion(future);
            fleet.add(service, "east", "v" + future, new WorkerStandin("v" + future, 0, 0));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        boxes.forEach(RelayBox::close);
        boxes.clear();
        routes.clear();
        fleet.close();
        proxies.shutdownGracefully();
    }

    /** Starts boxes in two failure domains that reach the store by a proxy each. */
    private void startBoxes(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            Route route =
                    Route.open(proxies, new InetSocketAddress("127.0.0.1", 0), Addresses.parse(fleet.storeAddress()));
            routes.add(route);
            String settings = ShippedSettings.ofStore(Addresses.format(route.address()))
                    .fill(TEMPLATE, "silent-" + i, i < 2 ? "east" : "west");
            boxes.add(new RelayBox(settings));
        }
        boxes.forEach(RelayBox::awaitReady);
        String heard = "wingstall_peers_heard " + (count - 1) + ".0";
        Awaitility.await().atMost(SETTLED_WITHIN).until(() -> boxes.stream()
                .allMatch(box -> box.metrics().contains(heard)));
    }

    private static boolean inForce(RelayBox box, long version) {
        return box.metrics().contains("wingstall_config_version " + version + ".0");
    }

    @DataProvider
    Object[][] fleets() {
        return new Object[][] {{1}, {3}};
    }

    /** The pauses differ, so that the connections fall silent at different moments of the calls that wait. */
    @Test(dataProvider = "fleets")
    public void aVersionIsInForceInTimeThoughTheOpenConnectionsToTheStoreAreSilent(int count) throws Exception {
        startBoxes(count);
        Map<Long, List<Long>> lateMs = new HashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            Pauses.ofMs(500 + 370L * round);
            routes.forEach(route -> route.set(Faults.NONE.withSilentOpen()));
            writeNext(lateMs);
        }
        assertEquals(lateMs.toString(), "{}", "late versions, by version: ms after the acknowledgement");
    }

    /** One box alone has lost its connections, so that its peers know the version. */
    @Test
    public void aVersionIsInForceInTimeAtABoxWhoseConnectionsAreSilentAlone() throws Exception {
        startBoxes(3);
        Map<Long, List<Long>> lateMs = new HashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            Pauses.ofMs(300 + 210L * round);
            routes.get(round % routes.size()).set(Faults.NONE.withSilentOpen());
            writeNext(lateMs);
        }
        assertEquals(lateMs.toString(), "{}", "late versions, by version: ms after the acknowledgement");
    }

    /** Each of the idle connections would cost a read its whole time, one after the other. */
    @Test
    public void aReadIsAnsweredThoughSeveralIdleConnectionsAreSilent() throws Exception {
        Route route = Route.open(proxies, new InetSocketAddress("127.0.0.1", 0), Addresses.parse(fleet.storeAddress()));
        EventLoop loop = proxies.next();
        RepeatingClient calls =
                new RepeatingClient(new HttpClient(), loop, route.address(), () -> READ_WITHIN_MS, () -> true);
        StoreClient store = new StoreClient(calls, route.address());
        EndpointSource source = new PlatformEndpointSource(store);
        List<CompletableFuture<EndpointSource.Listing>> atOnce = loop.submit(
                        () -> Stream.generate(source::read).limit(IDLE).toList())
                .get();
        atOnce.forEach(CompletableFuture::join);
        long before = calls.repeatedCalls();
        route.set(Faults.NONE.withSilentOpen());
        loop.submit(source::read).get().join();
        loop.submit(source::read).get().join();
        assertEquals(calls.repeatedCalls(), before + 1);
    }

    private void writeNext(Map<Long, List<Long>> lateMs) {
        long next = ++version;
        fleet.configure(next, 1000);
        long ackNs = System.nanoTime();
        List<RelayBox> waiting = new ArrayList<>(boxes);
        Awaitility.await()
                .pollInterval(Duration.ofMillis(POLL_MS))
                .atMost(Duration.ofSeconds(30))
                .until(() -> {
                    waiting.removeIf(box -> inForce(box, next));
                    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - ackNs);
                    if (waiting.isEmpty() && tookMs > IN_FORCE_WITHIN_MS) {
                        lateMs.computeIfAbsent(next, key -> new ArrayList<>()).add(tookMs);
                    }
                    return waiting.isEmpty();
                });
        for (RelayBox box : boxes) {
            assertEquals(
                    box.post("versioned", "after-" + next + "-" + System.nanoTime())
                            .status(),
                    200);
        }
    }
}
