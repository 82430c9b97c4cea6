package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;
import org.wingstall.standin.fleet.WorkerStandin.Behaviour;

/** A request went on at a second endpoint because an answer to an earlier one came in the place of its own. */
public class RelaySurplusAnswerTest {
    private static final int EVENTS = 6;
    private static final int REQUESTS = 20;

    private final AtomicInteger ids = new AtomicInteger();
    private final List<WorkerStandin> plains = List.of(new WorkerStandin("p1", 0, 0), new WorkerStandin("p2", 0, 0));
    private final List<WorkerStandin> engines =
            List.of(new WorkerStandin("e1", EVENTS, 0), new WorkerStandin("e2", EVENTS, 0));
    private FleetStandin fleet;
    private RelayBox box;

    @BeforeClass
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 5000);
        for (int i = 0; i < plains.size(); i++) {
            fleet.add("plain", "east", "p" + (i + 1), plains.get(i));
            fleet.add("engine", "east", "e" + (i + 1), engines.get(i));
        }
        box = new RelayBox(fleet, "surplus").awaitReady();
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        box.close();
        fleet.close();
    }

    private static List<String> runsOf(List<WorkerStandin> workers, String id) {
        return workers.stream()
                .flatMap(worker -> worker.runs().stream())
                .map(WorkerStandin.Seen::id)
                .filter(id::equals)
                .toList();
    }

    private double surplusDropped() {
        return box.metrics()
                .lines()
                .filter(line -> line.startsWith("wingstall_answers_dropped_total{reason=\"surplus\"}"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
                .sum();
    }

    @DataProvider
    Object[][] repeatedAnswers() {
        return new Object[][] {
            {"repeatable", Behaviour.ANSWERS}, {"repeatable", Behaviour.FULL}, {"repeatable", Behaviour.FAILS},
            {"resumable", Behaviour.ANSWERS}, {"resumable", Behaviour.FULL}, {"resumable", Behaviour.FAILS},
            {"once", Behaviour.ANSWERS}, {"stream", Behaviour.ANSWERS},
        };
    }

    @Test(dataProvider = "repeatedAnswers")
    public void aRequestRunsOnceAlthoughAnEarlierAnswerComesOnceMore(String route, Behaviour earlier) {
        List<WorkerStandin> workers = route.equals("repeatable") || route.equals("once") ? plains : engines;
        double droppedBefore = surplusDropped();
        int sentBefore = workers.stream()
                .mapToInt(worker -> worker.surplusAnswers().sent())
                .sum();
        for (int i = 0; i < REQUESTS; i++) {
            workers.forEach(worker -> worker.behave(earlier));
            box.post(route, nextId());
            workers.forEach(worker -> worker.behave(Behaviour.ANSWERS));
            workers.forEach(worker -> worker.surplusAnswers().repeatOneIn(1));
            String id = nextId();
            RelayBox.Reply reply = box.post(route, id);
            workers.forEach(worker -> worker.surplusAnswers().repeatOneIn(0));
            assertEquals(reply.status(), 200, reply.body());
            String own = workers == plains ? "answer to " + id : WorkerStandin.streamOf(id, EVENTS);
            assertEquals(reply.body(), own);
            assertEquals(runsOf(workers, id), List.of(id));
        }
        int sent = workers.stream()
                        .mapToInt(worker -> worker.surplusAnswers().sent())
                        .sum()
                - sentBefore;
        boolean kept = route.equals("repeatable") || route.equals("resumable");
        assertTrue(kept == sent > 0, sent + " surplus answers on route " + route);
        assertEquals(surplusDropped() - droppedBefore, sent, "surplus answers that were skipped");
    }

    private String nextId() {
        return "request-" + ids.incrementAndGet();
    }
}
