package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;

/**
 * Operators empty a failure domain before they work on it. From a few seconds after their mark on, nothing new may reach its
 * endpoints: no request, no retry and no piece of a stage.
 */
public class RelayEvacuationTest {
    /** Time within which an evacuation has to be obeyed. */
    private static final Duration BOUND = Duration.ofSeconds(5);

    /** Time of a call for pieces, in ms. */
    private static final long CALL_MS = 20;

    private FleetStandin fleet;
    private RelayBox box;
    private final List<WorkerStandin> east = new ArrayList<>();
    private final List<WorkerStandin> west = new ArrayList<>();

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        east.clear();
        west.clear();
        fleet.configure(1, 1000);
        box = new RelayBox(fleet, "evacuates");
    }

    private void serve(String... services) throws Exception {
        for (String service : services) {
            east.add(add(service, "east"));
            west.add(add(service, "west"));
        }
        box.awaitReady();
    }

    private WorkerStandin add(String service, String failureDomain) throws Exception {
        String id = service + "-" + failureDomain;
        WorkerStandin worker = new WorkerStandin(id, 0, CALL_MS);
        fleet.add(service, failureDomain, id, worker);
        return worker;
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        box.close();
        fleet.close();
    }

    private void evacuate(String failureDomain) {
        fleet.store().put("op", "evacuate/" + failureDomain, "{}");
        Awaitility.await().atMost(BOUND).until(() -> evacuated() >= 1);
    }

    private int evacuated() {
        return box.metrics()
                .lines()
                .filter(line -> line.startsWith("wingstall_domains_evacuated "))
                .mapToInt(line -> (int) Double.parseDouble(line.split(" ")[1]))
                .findFirst()
                .orElse(0);
    }

    private static int worked(List<WorkerStandin> workers) {
        return workers.stream()
                .mapToInt(worker -> worker.runs().size() + worker.batches().size())
                .sum();
    }

    /** Routes of each kind, and what their requests need besides a plain service. */
    @DataProvider
    public Object[][] routes() {
        return new Object[][] {
            {"once", new String[] {"plain"}},
            {"repeatable", new String[] {"plain"}},
            {"stream", new String[] {"engine"}},
            {"staged", new String[] {"engine", "first", "second"}},
        };
    }

    @Test(dataProvider = "routes")
    public void nothingReachesAnEvacuatedFailureDomain(String route, String[] services) throws Exception {
        serve(services);
        evacuate("east");
        int before = worked(east);
        for (int i = 0; i < 20; i++) {
            assertEquals(box.post(route, route + "-evacuated-" + i).status(), 200);
        }
        assertEquals(worked(east), before);
    }

    @Test
    public void aFailureDomainThatIsTakenBackGetsWorkAgain() throws Exception {
        serve("plain");
        evacuate("east");
        fleet.store().remove("op", "evacuate/east");
        Awaitility.await().atMost(BOUND).until(() -> {
            box.post("once", "taken-back-" + System.nanoTime());
            return worked(east) > 0;
        });
    }

    /** A truthful refusal that says when to come back, and at once. */
    @Test
    public void requestsAreRefusedAsNotRunWhenAllFailureDomainsAreEvacuated() throws Exception {
        serve("plain");
        fleet.store().put("op", "evacuate/west", "{}");
        evacuate("east");
        Awaitility.await().atMost(BOUND).until(() -> evacuated() == 2);
        RelayBox.Reply reply = box.post("once", "nowhere-to-go");
        assertEquals(reply.status(), 503);
        assertNotNull(reply.header("Retry-After"));
        assertEquals(worked(east) + worked(west), 0);
    }

    /** What the mark says is not defined; that it stands there counts, and an unknown failure domain has no endpoints. */
    @DataProvider
    public Object[][] marks() {
        return new Object[][] {{"east", ""}, {"east", "no document"}, {"nowhere", "{}"}};
    }

    @Test(dataProvider = "marks")
    public void aMarkCountsWhateverItSays(String failureDomain, String value) throws Exception {
        serve("plain");
        fleet.store().put("op", "evacuate/" + failureDomain, value);
        Awaitility.await().atMost(BOUND).until(() -> evacuated() == 1);
        int before = worked(east);
        boolean served = failureDomain.equals("nowhere");
        Awaitility.await().until(() -> {
            assertEquals(box.post("once", "marked-" + System.nanoTime()).status(), 200);
            return !served || worked(east) > before;
        });
        assertEquals(worked(east) > before, served);
    }

    @Test
    public void aBoxThatStartsDuringAnEvacuationObeysIt() throws Exception {
        serve("plain");
        evacuate("east");
        int before = worked(east);
        try (RelayBox later = new RelayBox(fleet, "starts-later").awaitReady()) {
            for (int i = 0; i < 20; i++) {
                assertEquals(later.post("once", "later-" + i).status(), 200);
            }
        }
        assertEquals(worked(east), before);
    }

    /** The history of marks may be lost; the marks that stand are read whole then. */
    @Test
    public void anEvacuationOutlastsTheStoresHistory() throws Exception {
        serve("plain");
        evacuate("east");
        fleet.store().forgetHistory();
        fleet.configure(2, 1000);
        Awaitility.await().until(() -> box.metrics().contains("wingstall_config_version 2.0"));
        assertEquals(evacuated(), 1);
    }
}
