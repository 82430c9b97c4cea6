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
import org.wingstall.schema.platform.Member;

/** Endpoints of a failure domain that is cut off are found out together, and come back when they answer. */
public class SilenceWatchTest {
    private final Set<String> silentIds = ConcurrentHashMap.newKeySet();
    private final Set<String> silentDomains = ConcurrentHashMap.newKeySet();
    private final List<String> asked = new CopyOnWriteArrayList<>();
    private final List<String> abandoned = new CopyOnWriteArrayList<>();
    private EventLoop loop;
    private RelayEndpoints endpoints;
    private SilenceWatch watch;

    @BeforeMethod
    public void create() {
        silentIds.clear();
        silentDomains.clear();
        asked.clear();
        abandoned.clear();
        loop = new DefaultEventLoop();
        endpoints = new RelayEndpoints(System::nanoTime);
        endpoints.applyList(Stream.of("east-1", "east-2", "east-3", "west-1", "west-2", "east-plain")
                .map(SilenceWatchTest::entry)
                .toList());
        StateQueries questions = (endpoint, purpose, answered, silent) -> {
            asked.add(endpoint.id());
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

    private void stalls(String id) {
        loop.execute(() -> endpoints.find(id).orElseThrow().recordNoAnswer("a call without an answer"));
    }

    private void awaitUsable(String... ids) {
        Awaitility.await().untilAsserted(() -> assertEquals(usable(), List.of(ids)));
    }

    /** Before, each of them was found out by a call of its own, which took some 650 ms and lost its pieces. */
    @Test
    public void oneSilentEndpointShowsThoseOfItsFailureDomainThatAreSilentAsWell() {
        silentIds.addAll(List.of("east-1", "east-2", "east-3"));
        stalls("east-1");
        awaitUsable("west-1", "west-2");
        Awaitility.await()
                .untilAsserted(() -> assertTrue(abandoned.containsAll(List.of("east-1", "east-2", "east-3"))));
    }

    @Test
    public void oneSilentEndpointAloneLeavesItsNeighboursInUse() {
        silentIds.add("east-1");
        stalls("east-1");
        Awaitility.await().until(() -> asked.contains("east-2") && asked.contains("east-3"));
        awaitUsable("east-2", "east-3", "east-plain", "west-1", "west-2");
    }

    @Test
    public void anEndpointIsUsedAgainAsSoonAsItAnswersAndIsNotTriedBefore() {
        silentIds.add("west-1");
        stalls("west-1");
        awaitUsable("east-1", "east-2", "east-3", "east-plain", "west-2");
        long askedBefore = asked.stream().filter("west-1"::equals).count();
        Awaitility.await().until(() -> asked.stream().filter("west-1"::equals).count() >= askedBefore + 2);
        assertEquals(usable(), List.of("east-1", "east-2", "east-3", "east-plain", "west-2"));
        silentIds.clear();
        awaitUsable("east-1", "east-2", "east-3", "east-plain", "west-1", "west-2");
    }

    private void doubts(String id, Runnable silent) {
        loop.execute(() -> watch.checkSuspect(endpoints.find(id).orElseThrow(), silent));
    }

    /** Before, an engine that took requests and said nothing got more of them until their connections broke, 2 s later. */
    @Test
    public void anEndpointWhoseAnswerIsOverdueGetsNoWorkUntilItTellsItsState() {
        List<String> told = new CopyOnWriteArrayList<>();
        silentIds.add("west-1");
        doubts("west-1", () -> told.add("silent"));
        awaitUsable("east-1", "east-2", "east-3", "east-plain", "west-2");
        assertEquals(told, List.of("silent"));
        silentIds.clear();
        awaitUsable("east-1", "east-2", "east-3", "east-plain", "west-1", "west-2");
    }

    /** A burst makes many answers late at once; the endpoint is asked once for all of them. */
    @Test
    public void aSlowEndpointThatTellsItsStateStaysInUseAndIsAskedOnce() throws InterruptedException {
        for (int i = 0; i < 20; i++) {
            doubts("west-1", () -> abandoned.add("told"));
        }
        loop.submit(() -> {}).sync();
        Awaitility.await().until(() -> asked.contains("west-1"));
        assertEquals(asked, List.of("west-1"));
        assertEquals(usable(), List.of("east-1", "east-2", "east-3", "east-plain", "west-1", "west-2"));
        assertEquals(abandoned, List.of());
    }

    @Test
    public void aFailureDomainWhoseBoxesFallSilentIsAskedBeforeAnyCallIsLost() {
        silentIds.addAll(List.of("east-1", "east-2", "east-3"));
        silentDomains.add("east");
        awaitUsable("west-1", "west-2");
    }
}
