package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.LimitLog;
import org.wingstall.standin.fleet.WorkerStandin;

/** An endpoint that states a limit in its answers got as many requests as before, from all boxes together. */
public class RelayRequestLimitTest {
    private static final int BOXES = 3;

    /** Time for which requests are sent, in ms: until the limit has to be kept, and some more than a span in which requests count. */
    private static final long PLAYED_MS = 9000;

    private static final long PAUSE_MS = 50;

    /** Time for all boxes to have read the directory often enough to know each other, in ms. */
    private static final long SETTLE_MS = 4000;

    /** A window until the end of a limit is found out, and the time in which requests then double until none is held back. */
    private static final long RELEASED_MS = 4000 + 6000;

    private static final long COUNTED_MS = 1000;

    private static final double PER_SECOND = 1;

    private final AtomicInteger ids = new AtomicInteger();
    private final List<RelayBox> boxes = new ArrayList<>();
    private FleetStandin fleet;
    private LimitLog log;
    private WorkerStandin limited;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 3000);
        log = new LimitLog();
        for (String service : List.of("engine", "plain", "first", "second")) {
            add(service, service + "-other");
        }
        for (int i = 0; i < BOXES; i++) {
            boxes.add(new RelayBox(fleet, "limit-" + i));
        }
        boxes.forEach(RelayBox::awaitReady);
        Pauses.ofMs(SETTLE_MS);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        boxes.forEach(RelayBox::close);
        boxes.clear();
        fleet.close();
    }

    private WorkerStandin add(String service, String name) throws Exception {
        int events = service.equals("engine") ? 5 : 0;
        WorkerStandin worker = new WorkerStandin(name, events, 20).recordIn(log);
        fleet.add(service, "east", name, worker);
        return worker;
    }

    private void addLimited(String service, String text, double requestsPerSecond) throws Exception {
        limited = add(service, "limited");
        limited.limit(text, requestsPerSecond);
        awaitListed("limited");
    }

    private void awaitListed(String endpoint) {
        long fromMs = nowMs();
        Awaitility.await().until(() -> {
            send("repeatable", 1).forEach(CompletableFuture::join);
            send("resumable", 1).forEach(CompletableFuture::join);
            send("staged", 1).forEach(CompletableFuture::join);
            return !log.arrivals(endpoint, fromMs).isEmpty();
        });
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Sends requests to one box after the other. */
    private List<CompletableFuture<RelayBox.Reply>> send(String route, int count) {
        List<CompletableFuture<RelayBox.Reply>> replies = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int id = ids.incrementAndGet();
            replies.add(boxes.get(id % boxes.size()).postAsync(route, "request-" + id));
            Pauses.ofMs(PAUSE_MS);
        }
        return replies;
    }

    private List<RelayBox.Reply> sendFor(String route, long forMs) {
        List<CompletableFuture<RelayBox.Reply>> replies = new ArrayList<>();
        long untilMs = nowMs() + forMs;
        while (nowMs() < untilMs) {
            replies.addAll(send(route, 1));
        }
        return replies.stream().map(CompletableFuture::join).toList();
    }

    private void assertKept() {
        List<LimitLog.Excess> excesses = log.excesses(arrival -> true);
        assertTrue(
                excesses.isEmpty(),
                excesses.size() + " spans, the first: " + excesses.stream().findFirst());
    }

    @DataProvider
    Object[][] limits() {
        return new Object[][] {
            {"resumable", "engine", "1", 1},
            {"resumable", "engine", "0.3", 0.3},
            {"stream", "engine", "0", 0},
            {"repeatable", "plain", "1", 1},
            {"repeatable", "plain", "4", 4},
            {"once", "plain", "0", 0},
            {"staged", "first", "1", 1},
            {"staged", "first", "0", 0},
            {"staged", "engine", "1", 1},
        };
    }

    @Test(dataProvider = "limits")
    public void anEndpointThatStatesALimitGetsNoMoreFromAllBoxes(
            String route, String service, String text, double requestsPerSecond) throws Exception {
        addLimited(service, text, requestsPerSecond);
        List<RelayBox.Reply> replies = sendFor(route, PLAYED_MS);
        assertKept();
        assertEquals(replies.stream().filter(reply -> reply.status() != 200).count(), 0, "refused");
    }

    /** A limit that changes with every answer, and one that can't be read, is kept as well as a steady one. */
    @Test
    public void aLimitThatChangesWithEveryAnswerIsKept() throws Exception {
        addLimited("engine", "1", PER_SECOND);
        List<String> texts = List.of("0.5", "1", "none", "0.9", "-1", "");
        CompletableFuture<Void> changes = CompletableFuture.runAsync(() -> {
            long untilMs = nowMs() + PLAYED_MS;
            for (int i = 0; nowMs() < untilMs; i++) {
                limited.limit(texts.get(i % texts.size()), PER_SECOND);
                Pauses.ofMs(PAUSE_MS);
            }
        });
        sendFor("resumable", PLAYED_MS);
        changes.join();
        assertKept();
    }

    @DataProvider
    Object[][] routes() {
        return new Object[][] {{"resumable", "engine"}, {"repeatable", "plain"}};
    }

    @DataProvider
    Object[][] routesWithStages() {
        return new Object[][] {{"resumable", "engine"}, {"repeatable", "plain"}, {"staged", "first"}};
    }

    /** With no other endpoint left callers are refused at once and told when to come back, and some are served. */
    @Test(dataProvider = "routesWithStages")
    public void aServiceWhoseOnlyEndpointStatesALimitRefusesWhatIsBeyondIt(String route, String service)
            throws Exception {
        addLimited(service, "1", PER_SECOND);
        fleet.store().remove("servers", service + "-other");
        Pauses.ofMs(SETTLE_MS);
        List<RelayBox.Reply> replies = sendFor(route, PLAYED_MS);
        assertKept();
        long served = replies.stream().filter(reply -> reply.status() == 200).count();
        assertTrue(2 * served >= PER_SECOND * PLAYED_MS / 1000, "served: " + served);
        for (RelayBox.Reply reply : replies) {
            assertTrue(reply.status() == 200 || reply.status() == 503, "status " + reply.status());
            assertTrue(reply.status() == 200 || reply.header("Retry-After") != null, reply.body());
        }
    }

    @Test(dataProvider = "routes")
    public void anEndpointThatStatesItsLimitNoLongerGetsWorkAsBefore(String route, String service) throws Exception {
        addLimited(service, "0.3", 0.3);
        sendFor(route, PLAYED_MS);
        assertKept();
        limited.clearLimit();
        Awaitility.await()
                .atMost(RELEASED_MS + 2 * COUNTED_MS, TimeUnit.MILLISECONDS)
                .until(() -> {
                    long fromMs = nowMs();
                    sendFor(route, COUNTED_MS);
                    return log.arrivals("limited", fromMs).size() > 5;
                });
    }

    /** The box that chooses for all is stopped as planned, then the next one. */
    @Test(dataProvider = "routes")
    public void aLimitIsKeptWhileBoxesStop(String route, String service) throws Exception {
        addLimited(service, "1", PER_SECOND);
        for (int i = 1; i < BOXES; i++) {
            sendFor(route, PLAYED_MS / 2);
            boxes.remove(0).close();
        }
        sendFor(route, PLAYED_MS / 2);
        assertKept();
    }

    /** Each overdue answer had its endpoint asked for its state, beside the requests that the limit allows. */
    @Test
    public void questionsToAnEndpointWithALimitCountAsWell() throws Exception {
        addLimited("engine", "1", PER_SECOND);
        send("resumable", 40).forEach(CompletableFuture::join);
        limited.behave(WorkerStandin.Behaviour.SILENT);
        sendFor("resumable", PLAYED_MS);
        assertKept();
    }
}
