package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.PartialAnswer;
import org.wingstall.standin.fleet.WorkerStandin;
import org.wingstall.standin.fleet.WorkerStandin.Behaviour;

/** Streams went on at endpoints of another software version than the one that began them. */
public class RelayStreamVersionTest {
    private static final int EVENTS = 5;
    private static final int TRIES = 8;

    /** Time after which a box goes by the only version that it has seen, in ms. */
    private static final long ONLY_VERSION_MS = 30_000;

    private final Map<String, WorkerStandin> engines = new HashMap<>();
    private final List<RelayBox> boxes = new ArrayList<>();
    private FleetStandin fleet;

    @BeforeMethod
    public void start() {
        engines.clear();
        boxes.clear();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        boxes.forEach(RelayBox::close);
        fleet.close();
    }

    private void startFleet(int count) throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 3000);
        for (int i = 1; i <= count; i++) {
            boxes.add(new RelayBox(fleet, "box-" + i));
        }
        boxes.forEach(RelayBox::awaitReady);
        boxes.forEach(box ->
                Awaitility.await().until(() -> box.metrics().contains("wingstall_peers_heard " + (count - 1) + ".0")));
    }

    private WorkerStandin addEngine(String name, String version, Behaviour behaviour) throws Exception {
        WorkerStandin engine = new WorkerStandin(name, EVENTS, 0).writeAs(version);
        engine.behave(behaviour);
        engines.put(name, engine);
        fleet.listVersion("engine", "east", name, fleet.start(engine), "ready", version);
        return engine;
    }

    private void awaitEngines() {
        boxes.forEach(box -> Awaitility.await()
                .until(() -> box.metrics().contains("wingstall_endpoints_reached " + engines.size() + ".0")));
    }

    private static PartialAnswer send(RelayBox box, String id, String root, int after) throws InterruptedException {
        HttpRequest.Builder request = CallerRequests.withOwnPrompt(box.request("resumable", id), id);
        if (after > 0) {
            CallerRequests.resuming(request, root, after);
        }
        return RelayBox.sendPartially(request.build());
    }

    @Test
    public void anAnswerGoesOnOnlyAtTheVersionThatBeganIt() throws Exception {
        startFleet(1);
        addEngine("old", "v1", Behaviour.CUTS_ANSWER);
        addEngine("new", "v2", Behaviour.ANSWERS);
        awaitEngines();
        int broken = 0;
        for (int i = 0; i < TRIES; i++) {
            PartialAnswer first = send(boxes.get(0), "request-" + i, null, 0);
            assertTrue(first.writers().size() <= 1, first.body());
            broken += first.whole() ? 0 : 1;
        }
        assertTrue(broken > 0);
    }

    @Test
    public void anAnswerGoesOnAtAnotherEndpointOfItsVersion() throws Exception {
        startFleet(1);
        addEngine("old", "v1", Behaviour.CUTS_ANSWER);
        addEngine("new", "v2", Behaviour.FAILS);
        addEngine("old-too", "v1", Behaviour.ANSWERS);
        awaitEngines();
        for (int i = 0; i < TRIES; i++) {
            PartialAnswer first = send(boxes.get(0), "request-" + i, null, 0);
            if (first.status() == 200) {
                assertEquals(first.writers(), new TreeSet<>(List.of("v1")), first.body());
                assertTrue(first.whole(), first.body());
            }
        }
    }

    /** Which box gets the next try, and whether the first one is gone by then. */
    @DataProvider
    Object[][] nextTries() {
        return new Object[][] {{0, false}, {1, false}, {1, true}};
    }

    @Test(dataProvider = "nextTries")
    public void aCallersNextTryGoesOnAtTheVersionThatBeganTheStream(int nextBox, boolean firstBoxEnds)
            throws Exception {
        startFleet(3);
        addEngine("v1-a", "v1", Behaviour.CUTS_ANSWER);
        addEngine("v2-a", "v2", Behaviour.CUTS_ANSWER);
        awaitEngines();
        Map<String, PartialAnswer> begun = new HashMap<>();
        for (int i = 0; i < TRIES; i++) {
            PartialAnswer first = send(boxes.get(0), "root-" + i, null, 0);
            if (first.events().size() > 0) {
                begun.put("root-" + i, first);
            }
        }
        assertTrue(begun.size() > 0);
        engines.values().forEach(engine -> engine.behave(Behaviour.ANSWERS));
        addEngine("v1-b", "v1", Behaviour.ANSWERS);
        addEngine("v2-b", "v2", Behaviour.ANSWERS);
        awaitEngines();
        if (firstBoxEnds) {
            boxes.get(0).close();
        }
        for (Map.Entry<String, PartialAnswer> entry : begun.entrySet()) {
            String root = entry.getKey();
            PartialAnswer first = entry.getValue();
            PartialAnswer next = send(
                    boxes.get(nextBox), root + "-next", root, first.events().size());
            assertEquals(next.status(), 200, root);
            assertTrue(next.whole(), next.body());
            assertEquals(next.writers(), first.writers(), root);
            assertEquals(first.events().size() + next.events().size(), EVENTS);
        }
    }

    /** The version is gone for good, so that a time to come back could not come true. */
    @Test
    public void aStreamWhoseVersionIsGoneIsRefusedAtOnceWithoutATimeToComeBack() throws Exception {
        startFleet(2);
        addEngine("old", "v1", Behaviour.CUTS_ANSWER);
        awaitEngines();
        PartialAnswer first = send(boxes.get(0), "root", null, 0);
        assertTrue(first.events().size() > 0);
        addEngine("new", "v2", Behaviour.ANSWERS);
        awaitEngines();
        fleet.store().remove("servers", "old");
        engines.remove("old");
        awaitEngines();
        HttpRequest next = CallerRequests.resuming(
                        boxes.get(1).request("resumable", "next"),
                        "root",
                        first.events().size())
                .build();
        RelayBox.Reply refusal = RelayBox.send(next);
        assertEquals(refusal.status(), 503);
        assertEquals(Optional.ofNullable(refusal.header("Retry-After")), Optional.empty());
        assertEquals(engines.get("new").runs().size(), 0);
    }

    /** The services of today had one version only, while the stream was begun at another service. */
    @Test
    public void aStreamThatNoBoxKnowsDoesNotGoOnAfterItsRouteWasMoved() throws Exception {
        startFleet(1);
        addEngine("old", "v1", Behaviour.ANSWERS);
        WorkerStandin moved = new WorkerStandin("moved", EVENTS, 0).writeAs("v2");
        engines.put("moved", moved);
        fleet.listVersion("prompted", "east", "moved", fleet.start(moved), "ready", "v2");
        awaitEngines();
        AtomicInteger tries = new AtomicInteger();
        Awaitility.await()
                .atMost(Duration.ofMillis(2 * ONLY_VERSION_MS))
                .pollInterval(Duration.ofSeconds(1))
                .until(() -> send(boxes.get(0), "try-" + tries.incrementAndGet(), "never-begun", 2)
                                .status()
                        == 200);
        fleet.moveStreams(2, "resumable", "prompted");
        Awaitility.await().until(() -> boxes.get(0).metrics().contains("wingstall_config_version 2.0"));
        assertEquals(send(boxes.get(0), "next", "begun-elsewhere", 2).status(), 503);
        assertEquals(moved.runs().size(), 0);
    }

    @Test
    public void aStreamThatNoBoxKnowsIsNotResumedAtOneOfSeveralVersions() throws Exception {
        startFleet(2);
        addEngine("old", "v1", Behaviour.ANSWERS);
        addEngine("new", "v2", Behaviour.ANSWERS);
        awaitEngines();
        assertEquals(send(boxes.get(1), "next", "never-begun", 2).status(), 503);
        assertTrue(engines.values().stream().allMatch(engine -> engine.runs().isEmpty()));
    }
}
