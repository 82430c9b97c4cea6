package org.wingstall.it.relay;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpRequest;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.CallerRequests;
import org.wingstall.standin.fleet.EndpointLinks;
import org.wingstall.standin.fleet.EndpointLinks.Cut;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.PartialAnswer;
import org.wingstall.standin.fleet.WorkerStandin;

/** A stream whose connection to its endpoint fell silent never ended for its caller. */
public class RelaySilentStreamTest {
    private static final int EVENTS = 1000;
    private static final long DEADLINE_MS = 1500;

    /** Time beyond the deadline within which a request has to have its final answer, in ms. */
    private static final long LATE_MS = 500;

    private FleetStandin fleet;
    private EndpointLinks links;
    private WorkerStandin engine;
    private RelayBox box;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, DEADLINE_MS);
        engine = new WorkerStandin("e1", EVENTS, 0);
        fleet.add("engine", "east", "e1", engine);
        links = fleet.linksOfOneBox();
        box = new RelayBox(fleet, "box-1", links).awaitReady();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        box.close();
        fleet.close();
    }

    @DataProvider
    Object[][] routes() {
        return new Object[][] {{"stream"}, {"resumable"}};
    }

    @Test(dataProvider = "routes")
    public void aStreamThatFellSilentIsBrokenOffAfterItsDeadline(String route) throws Exception {
        HttpRequest request = CallerRequests.withOwnPrompt(box.request(route, "silent"), "silent")
                .setHeader("X-Wingstall-Deadline-Ms", Long.toString(DEADLINE_MS))
                .build();
        long beganNs = System.nanoTime();
        CompletableFuture<PartialAnswer> answer = CompletableFuture.supplyAsync(() -> send(request));
        Awaitility.await().until(() -> !engine.runs().isEmpty());
        links.cut(Cut.SILENT);
        long leftMs = DEADLINE_MS + LATE_MS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNs);
        PartialAnswer ended = answer.get(leftMs, TimeUnit.MILLISECONDS);
        assertFalse(ended.whole(), ended.toString());
        assertTrue(box.metrics().contains("deadline-passed-running"), box.metrics());
    }

    private static PartialAnswer send(HttpRequest request) {
        try {
            return RelayBox.sendPartially(request);
        } catch (InterruptedException e) {
            throw new CompletionException(e);
        }
    }
}
