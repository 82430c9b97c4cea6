package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.LoopbackPorts;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.PartialAnswer;
import org.wingstall.standin.fleet.WorkerStandin;
import org.wingstall.standin.fleet.WorkerStandin.Behaviour;

/** What may run again goes to another endpoint, from its start or from the last event that came. */
public class RelayRetryTest {
    private static final String EVENT = "id: %1$d\ndata: token %1$d of %2$s\n\n";

    /** Retries that one box of nine may make at once out of the 58 in the settings. */
    private static final int RETRIES_SAVED = 4;

    /** Time in which some requests are served although the first is given to an engine that is silent, in ms. */
    private static final long DARK_FOUND_MS = 4000;

    /** Time within which a stream that can't go on has ended, in ms; far below the callers' patience of 5 s. */
    private static final long ENDED_MS = 2000;

    private static final int MANY = 20;

    private final AtomicInteger ids = new AtomicInteger();
    private final Map<String, WorkerStandin> workers = new HashMap<>();
    private FleetStandin fleet;
    private RelayBox box;

    @BeforeMethod
    public void start() throws Exception {
        workers.clear();
        fleet = new FleetStandin();
        fleet.configure(1, 3000);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        box.close();
        fleet.close();
    }

    private void add(String service, int events, Behaviour behaviour, String incarnation) throws Exception {
        WorkerStandin worker = new WorkerStandin(incarnation, events, 0);
        worker.behave(behaviour);
        workers.put(incarnation, worker);
        fleet.add(service, "east", incarnation, worker);
    }

    @DataProvider
    Object[][] faults() {
        return new Object[][] {
            {Behaviour.FULL},
            {Behaviour.FAILS},
            {Behaviour.CUTS_ANSWER},
            {Behaviour.OTHER_ID},
            {Behaviour.UNSIGNED},
            {Behaviour.CLOSES},
        };
    }

    @Test(dataProvider = "faults")
    public void aRepeatableRequestIsAnsweredByTheSoundEndpoint(Behaviour behaviour) throws Exception {
        add("plain", 0, behaviour, "faulty");
        add("plain", 0, Behaviour.ANSWERS, "sound");
        box = new RelayBox(fleet, "retries").awaitReady();
        for (int i = 0; i < RETRIES_SAVED; i++) {
            String id = "request-" + ids.incrementAndGet();
            RelayBox.Reply reply = box.post("repeatable", id);
            assertEquals(reply.status(), 200);
            assertEquals(reply.body(), "answer to " + id);
        }
    }

    @Test
    public void aStreamThatMayBeResumedGoesOnWithoutGapOrDouble() throws Exception {
        add("engine", 5, Behaviour.CUTS_ANSWER, "faulty");
        add("engine", 5, Behaviour.ANSWERS, "sound");
        box = new RelayBox(fleet, "resumes").awaitReady();
        for (int i = 0; i < RETRIES_SAVED; i++) {
            String id = "request-" + ids.incrementAndGet();
            String whole = IntStream.rangeClosed(1, 5)
                    .mapToObj(number -> EVENT.formatted(number, id))
                    .collect(Collectors.joining());
            assertEquals(box.post("resumable", id).body(), whole);
        }
    }

    /**
     * An engine that takes connections and says nothing breaks none of them; before, requests waited for it until their
     * deadline, and more of them were given to it.
     */
    @Test
    public void aRequestAtAnEngineThatWentDarkGoesToAnotherAndNoneFollowsIt() throws Exception {
        add("engine", 5, Behaviour.ANSWERS, "dark");
        add("engine", 5, Behaviour.ANSWERS, "sound");
        box = new RelayBox(fleet, "dark").awaitReady();
        WorkerStandin home = workers.get(homeOfPrompts());
        AtomicInteger given = new AtomicInteger();
        home.observe(arrival -> given.addAndGet(arrival.id() == null ? 0 : 1));
        home.behave(Behaviour.DARK);
        long beganNs = System.nanoTime();
        for (int i = 0; i < MANY && given.get() == 0; i++) {
            assertEquals(
                    box.post("resumable", "request-" + ids.incrementAndGet()).status(), 200);
        }
        for (int i = 0; i < MANY; i++) {
            assertEquals(
                    box.post("resumable", "request-" + ids.incrementAndGet()).status(), 200);
        }
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNs);
        assertTrue(tookMs < DARK_FOUND_MS, "took " + tookMs + " ms");
        assertEquals(given.get(), 1);
    }

    /** All prompts here share their first parts, so they go to the engine that has read them. */
    private String homeOfPrompts() throws Exception {
        box.post("resumable", "request-" + ids.incrementAndGet());
        return workers.keySet().stream()
                .filter(name -> !workers.get(name).runs().isEmpty())
                .findFirst()
                .orElseThrow();
    }

    @Test
    public void anEndpointAtAnotherOnesAddressNeverRunsItsRequests() throws Exception {
        WorkerStandin successor = new WorkerStandin("successor", 0, 0);
        String address = fleet.add("plain", "east", "successor", successor);
        fleet.store().remove("servers", "successor");
        fleet.list("plain", "east", "predecessor", address, "ready");
        box = new RelayBox(fleet, "reused").awaitReady();
        assertEquals(box.post("once", "request-" + ids.incrementAndGet()).status(), 503);
        assertEquals(successor.runs().size(), 0);
    }

    /** The route "once" may go to one endpoint; one that is gone from its address has not been asked. */
    @Test
    public void aRequestForAnEndpointThatIsGoneFromItsAddressGoesToAnother() throws Exception {
        WorkerStandin successor = new WorkerStandin("successor", 0, 0);
        String address = fleet.add("plain", "east", "successor", successor);
        fleet.store().remove("servers", "successor");
        fleet.list("plain", "east", "predecessor", address, "ready");
        add("plain", 0, Behaviour.ANSWERS, "sound");
        box = new RelayBox(fleet, "misdirected").awaitReady();
        for (int i = 0; i < RETRIES_SAVED; i++) {
            assertEquals(box.post("once", "request-" + ids.incrementAndGet()).status(), 200);
        }
        assertEquals(successor.runs().size(), 0);
    }

    /** A refusal was written into the begun stream, so that its caller waited for a rest that never came. */
    @Test
    public void aBegunStreamEndsAtOnceWhenNoOtherEndpointCanBeReached() throws Exception {
        add("engine", 5, Behaviour.CUTS_ANSWER, "faulty");
        fleet.list("engine", "east", "refusing", "127.0.0.1:" + LoopbackPorts.next("127.0.0.1"), "ready");
        box = new RelayBox(fleet, "resumes-nowhere").awaitReady();
        boolean begun = false;
        for (int i = 0; i < RETRIES_SAVED && !begun; i++) {
            HttpRequest request =
                    box.request("resumable", "request-" + ids.incrementAndGet()).build();
            long beganNs = System.nanoTime();
            PartialAnswer answer = RelayBox.sendPartially(request);
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNs);
            begun = answer.status() == 200;
            assertFalse(begun && answer.whole(), answer.body());
            assertTrue(tookMs < ENDED_MS, "took " + tookMs + " ms");
        }
        assertTrue(begun);
    }

    @Test
    public void aFailureOfTheSecondEndpointNeverGetsIntoABegunStream() throws Exception {
        add("engine", 5, Behaviour.CUTS_ANSWER, "faulty");
        add("engine", 5, Behaviour.FAILS, "failing");
        box = new RelayBox(fleet, "resumes-badly").awaitReady();
        boolean begunByFaulty = false;
        for (int i = 0; i < RETRIES_SAVED && !begunByFaulty; i++) {
            String bytes = box.postRaw("resumable", "request-" + ids.incrementAndGet());
            begunByFaulty = bytes.contains("seal-of-faulty");
            assertEquals(bytes.split("HTTP/1.1 ", -1).length, 2, bytes);
        }
        assertTrue(begunByFaulty);
        assertTrue(workers.get("failing").runs().size() > 0);
        assertTrue(box.metrics().contains("reason=\"endpoint-lost\"} 1.0"), box.metrics());
    }
}
