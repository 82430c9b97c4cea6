package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpRequest;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;
import org.wingstall.standin.fleet.WorkerStandin.Behaviour;

/** What a caller gets, whatever its endpoint does: the whole answer to its own request, or a truthful refusal. */
public class RelayAnswerTest {
    private final AtomicInteger ids = new AtomicInteger();
    private FleetStandin fleet;
    private RelayBox box;
    private final WorkerStandin plain = new WorkerStandin("p1", 0, 0);
    private final WorkerStandin engine = new WorkerStandin("e1", 6, 0);

    @BeforeClass
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 700);
        fleet.add("plain", "east", "p1", plain);
        fleet.add("engine", "east", "e1", engine);
        box = new RelayBox(fleet, "answers").awaitReady();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        box.close();
        fleet.close();
    }

    private String nextId() {
        return "request-" + ids.incrementAndGet();
    }

    private static long runsOf(WorkerStandin worker, String id) {
        return worker.runs().stream().filter(run -> run.id().equals(id)).count();
    }

    @DataProvider
    Object[][] faults() {
        return new Object[][] {
            {Behaviour.ANSWERS, 200, 1},
            {Behaviour.FULL, 503, 0},
            {Behaviour.FAILS, 500, 1},
            {Behaviour.CUTS_ANSWER, 502, 1},
            {Behaviour.OTHER_ID, 502, 1},
            {Behaviour.OTHER_REFUSAL, 502, 1},
            {Behaviour.OTHER_MISDIRECTED, 502, 1},
            {Behaviour.UNSIGNED, 502, 1},
            {Behaviour.CLOSES, 502, 1},
            {Behaviour.SILENT, 504, 1},
        };
    }

    @Test(dataProvider = "faults")
    public void aRequestThatMayRunOnceRunsAtMostOnceAndIsAnsweredTruly(Behaviour behaviour, int status, int runs) {
        plain.behave(behaviour);
        String id = nextId();
        RelayBox.Reply reply = box.post("once", id);
        assertEquals(reply.status(), status);
        assertEquals(runsOf(plain, id), runs);
        if (status == 200) {
            assertEquals(reply.body(), "answer to " + id);
            assertEquals(reply.header("X-Wingstall-Response-Seal"), "seal-of-p1");
        }
        if (status == 503) {
            assertTrue(Double.parseDouble(reply.header("Retry-After")) > 0);
        }
        plain.behave(Behaviour.ANSWERS);
    }

    @Test
    public void theEndpointGetsTheRequestAsItCameButForWhatABoxSets() {
        plain.behave(Behaviour.ANSWERS);
        String id = nextId();
        HttpRequest request = box.request("once", id)
                .header("X-Own", "kept")
                .header("X-Wingstall-Tenant", "forged")
                .header("X-Wingstall-Expect-Instance", "forged")
                .build();
        RelayBox.send(request);
        WorkerStandin.Seen seen = plain.runs().stream()
                .filter(run -> run.id().equals(id))
                .findFirst()
                .orElseThrow();
        assertEquals(seen.method(), "POST");
        assertEquals(seen.target(), "/once/x?y=1");
        assertEquals(new String(seen.body()), "body of " + id);
        assertEquals(seen.headers().get("X-Own"), "kept");
        assertEquals(seen.headers().getAll("X-Wingstall-Tenant"), List.of("canteen"));
        assertEquals(seen.headers().getAll("X-Wingstall-Expect-Instance"), List.of("p1"));
        assertNull(seen.headers().get("X-Api-Key"));
        assertTrue(Long.parseLong(seen.headers().get("X-Wingstall-Deadline-Ms")) <= 5000);
    }

    @DataProvider
    Object[][] strangers() {
        return new Object[][] {{"no-such-route", FleetStandin.KEY, 404}, {"once", "no-such-key", 401}};
    }

    @Test(dataProvider = "strangers")
    public void unknownRoutesAndKeysAreRefused(String route, String key, int status) {
        HttpRequest request =
                box.request(route, nextId()).setHeader("X-Api-Key", key).build();
        assertEquals(RelayBox.send(request).status(), status);
    }

    @Test
    public void aStreamIsPassedOnWhole() {
        engine.behave(Behaviour.ANSWERS);
        RelayBox.Reply reply = box.post("stream", nextId());
        assertEquals(reply.status(), 200);
        assertEquals(reply.body().split("\n\n").length, 6);
        assertNotNull(reply.header("X-Wingstall-Response-Seal"));
    }

    @Test
    public void aStreamThatMayNotBeResumedNeverLooksWholeWhenItsEndpointBreaksOff() {
        engine.behave(Behaviour.CUTS_ANSWER);
        String id = nextId();
        assertTrue(box.brokenOff("stream", id));
        assertEquals(runsOf(engine, id), 1);
        engine.behave(Behaviour.ANSWERS);
    }

    @Test
    public void workStopsWhenTheCallerLeaves() {
        plain.behave(Behaviour.SILENT);
        String id = nextId();
        int before = plain.cancelled();
        var waiting = box.postAsync("once", id);
        Awaitility.await().until(() -> runsOf(plain, id) == 1);
        waiting.cancel(true);
        Awaitility.await().until(() -> plain.cancelled() > before);
        plain.behave(Behaviour.ANSWERS);
    }

    @Test
    public void everyReasonHasACounter() {
        String metrics = box.metrics();
        assertTrue(metrics.contains("reason=\"endpoints-busy\""), metrics);
        assertTrue(metrics.contains("reason=\"unknown-key\""), metrics);
    }
}
