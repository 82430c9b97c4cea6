package org.wingstall.it;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Fleets;
import org.wingstall.it.harness.Pauses;
import org.wingstall.it.harness.Rows;
import org.wingstall.it.harness.TestFleet;

/** Promise 6: a planned stop cuts no request that is in flight. */
public class PlannedStopTest {
    private TestFleet fleet;

    @BeforeClass
    public void startFleet() {
        fleet = Fleets.three("planned-stop", "shutdownNoticeMs: 1200", "shutdownGraceMs: 20000");
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    @Test(dependsOnMethods = "aStreamLongerThanTheNoticeIsServedToItsEnd")
    public void aRollingRestartCutsNothing() throws InterruptedException {
        Calls calls = new Calls();
        AtomicBoolean over = new AtomicBoolean();
        Thread load = new Thread(() -> sendUntil(calls, over));
        load.start();
        for (TestFleet.Box box : fleet.boxes()) {
            Pauses.ofMs(500);
            box.process().terminate();
            box.process().awaitExit(30);
            box.process().restart();
            fleet.awaitReady(box);
        }
        over.set(true);
        load.join();
        Map<String, Integer> outcomes = Calls.outcomes(calls.await());
        System.out.println("rolling restart: " + outcomes);
        assertEquals(outcomes.keySet(), java.util.Set.of("complete"), outcomes.toString());
    }

    @Test
    public void aStreamLongerThanTheNoticeIsServedToItsEnd() {
        TestFleet.Box box = fleet.box("box-a");
        fleet.endpoints("briza").forEach(engine -> fleet.endpointFaults(engine, "{\"slowFactor\": 80}"));
        Calls calls = new Calls();
        calls.send(box, "plan", "long stream", null, true);
        Awaitility.await().atMost(Duration.ofSeconds(5)).until(() -> engineCalls() >= 1);
        box.process().terminate();
        Calls.Call call = calls.await().get(0);
        fleet.endpoints("briza").forEach(engine -> fleet.endpointFaults(engine, "{}"));
        box.process().awaitExit(30);
        box.process().restart();
        fleet.awaitReady(box);
        assertEquals(call.outcome(), "complete");
        assertEquals(call.streamedText(), Rows.plan("long stream"));
    }

    private long engineCalls() {
        return fleet.runs("briza").stream()
                .filter(run -> run.path("workspace").asText().equals("crew"))
                .filter(run -> run.path("requestId").asText().startsWith("box-a."))
                .count();
    }

    /** Sends like a balancer that asks every box for its readiness now and then. */
    private void sendUntil(Calls calls, AtomicBoolean over) {
        List<TestFleet.Box> ready = new ArrayList<>(fleet.boxes());
        for (int i = 0; !over.get(); i++) {
            if (i % 10 == 0) {
                ready.clear();
                fleet.boxes().stream().filter(fleet::ready).forEach(ready::add);
            }
            TestFleet.Box box = ready.get(i % ready.size());
            if (i % 3 == 0) {
                calls.send(box, "order", "order " + i, "stop-" + i, false);
            } else {
                calls.send(box, "plan", "plan " + i, null, i % 2 == 0);
            }
            Pauses.ofMs(15);
        }
    }
}
