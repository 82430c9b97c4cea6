package org.wingstall.relay.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.net.http.TransportException;
import org.wingstall.schema.platform.Member;

/** Endpoints of a failure domain that is cut off are detected together, and are used again once they respond. */
public class SilenceWatchTest {
    private final Set<String> silentIds = ConcurrentHashMap.newKeySet();
    private final Set<String> silentDomains = ConcurrentHashMap.newKeySet();
    private final List<String> queried = new CopyOnWriteArrayList<>();
    private final List<String> abandoned = new CopyOnWriteArrayList<>();
    private EventLoop loop;
    private RelayEndpoints endpoints;
    private SilenceWatch watch;

    @BeforeMethod
    public void create() {
        silentIds.clear();
        silentDomains.clear();
        queried.clear();
        abandoned.clear();
        loop = new DefaultEventLoop();
        endpoints = new RelayEndpoints(System::nanoTime);
        endpoints.applyList(Stream.of("east-1", "east-2", "east-3", "west-1", "west-2", "east-plain")
                .map(SilenceWatchTest::entry)
                .toList());
        StateQueries questions = (endpoint, purpose, answered, silent) -> {
            queried.add(endpoint.id());
            if (silentIds.contains(endpoint.id())) {
                loop.execute(silent);
            } else {
                loop.execute(() -> answered.accept(Optional.empty()));
            }
            return true;
        };
        watch = new SilenceWatch(
                loop,
                System::nanoTime,
                endpoints,
                questions,
                service -> service.equals("pool"),
                endpoint -> {},
                endpoint -> abandoned.add(endpoint.id()),
                () -> silentDomains);
        watch.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        loop.shutdownGracefully();
    }

    private static Member entry(String id) {
        String domain = id.substring(0, id.indexOf('-'));
        String service = id.endsWith("plain") ? "plain" : "pool";
        return new Member(id, Member.Kind.ENDPOINT, domain, "127.0.0.1:9", service, "v1", Member.State.LIVE, 1, 4, 0);
    }

    private List<String> usable() {
        return endpoints.all().stream()
                .filter(RelayEndpoint::usable)
                .map(RelayEndpoint::id)
                .sorted()
                .toList();
    }

    private void recordNoAnswer(String endpointId) {
        loop.execute(() -> endpoints.find(endpointId).orElseThrow().recordNoAnswer("a call without an answer"));
    }

    private void awaitUsable(String... ids) {
        Awaitility.await().untilAsserted(() -> assertEquals(usable(), List.of(ids)));
    }

    /**
     * Without the queries each of them is detected by a lost call of its own, which takes about 650 ms and loses its
     * pieces.
     */
    @Test
    public void oneSilentEndpointRevealsTheOthersOfItsFailureDomain() {
        silentIds.addAll(List.of("east-1", "east-2", "east-3"));
        recordNoAnswer("east-1");
        awaitUsable("west-1", "west-2");
        Awaitility.await()
                .untilAsserted(() -> assertTrue(abandoned.containsAll(List.of("east-1", "east-2", "east-3"))));
    }

    @Test
    public void oneSilentEndpointLeavesTheOthersOfItsFailureDomainInUse() {
        silentIds.add("east-1");
        recordNoAnswer("east-1");
        Awaitility.await().until(() -> queried.contains("east-2") && queried.contains("east-3"));
        awaitUsable("east-2", "east-3", "east-plain", "west-1", "west-2");
    }

    @Test
    public void anEndpointIsUsedAgainOnlyOnceItResponds() {
        silentIds.add("west-1");
        recordNoAnswer("west-1");
        awaitUsable("east-1", "east-2", "east-3", "east-plain", "west-2");
        long askedBefore = queried.stream().filter("west-1"::equals).count();
        Awaitility.await().until(() -> queried.stream().filter("west-1"::equals).count() >= askedBefore + 2);
        assertEquals(usable(), List.of("east-1", "east-2", "east-3", "east-plain", "west-2"));
        silentIds.clear();
        awaitUsable("east-1", "east-2", "east-3", "east-plain", "west-1", "west-2");
    }

    private void checkSuspect(String id, Runnable onNoAnswer) {
        loop.execute(() -> watch.checkSuspect(endpoints.find(id).orElseThrow(), onNoAnswer));
    }

    /**
     * Without the query an engine that accepts requests and sends nothing gets more of them until their connections
     * break, 2 s later.
     */
    @Test
    public void anEndpointWithAnOverdueResponseGetsNoWorkUntilItReportsItsState() {
        List<String> told = new CopyOnWriteArrayList<>();
        silentIds.add("west-1");
        checkSuspect("west-1", () -> told.add("silent"));
        awaitUsable("east-1", "east-2", "east-3", "east-plain", "west-2");
        assertEquals(told, List.of("silent"));
        silentIds.clear();
        awaitUsable("east-1", "east-2", "east-3", "east-plain", "west-1", "west-2");
    }

    private void loseConnections(String id, int times) {
        loop.execute(() -> {
            for (int i = 0; i < times; i++) {
                endpoints
                        .find(id)
                        .orElseThrow()
                        .recordTransportFailure(new TransportException(TransportException.Kind.RESET, true, "test"));
            }
        });
    }

    /** One broken connection is no end: the endpoint gets work again as soon as it reports its state. */
    @Test
    public void anEndpointThatLostConnectionsIsQueriedOnceAndUsedAgain() {
        loseConnections("west-1", 2);
        Awaitility.await().until(() -> queried.contains("west-1"));
        awaitUsable("east-1", "east-2", "east-3", "east-plain", "west-1", "west-2");
        assertEquals(queried, List.of("west-1"));
        assertEquals(abandoned, List.of());
    }

    /** An endpoint that had ended got requests until its connections had failed three times. */
    @Test
    public void anEndpointThatEndedGetsNoWorkAfterItsFirstLostConnection() {
        silentIds.add("west-1");
        loseConnections("west-1", 1);
        awaitUsable("east-1", "east-2", "east-3", "east-plain", "west-2");
        Awaitility.await().until(() -> !abandoned.isEmpty());
        assertEquals(abandoned, List.of("west-1"));
    }

    /** A burst makes many responses overdue at the same time; the endpoint is queried once for all of them. */
    @Test
    public void aSlowEndpointThatReportsItsStateStaysInUseAndIsQueriedOnce() throws InterruptedException {
        for (int i = 0; i < 20; i++) {
            checkSuspect("west-1", () -> abandoned.add("told"));
        }
        loop.submit(() -> {}).sync();
        Awaitility.await().until(() -> queried.contains("west-1"));
        assertEquals(queried, List.of("west-1"));
        assertEquals(usable(), List.of("east-1", "east-2", "east-3", "east-plain", "west-1", "west-2"));
        assertEquals(abandoned, List.of());
    }

    @Test
    public void aFailureDomainWithoutHeartbeatsIsQueriedBeforeAnyCallIsLost() {
        silentIds.addAll(List.of("east-1", "east-2", "east-3"));
        silentDomains.add("east");
        awaitUsable("west-1", "west-2");
    }
}
