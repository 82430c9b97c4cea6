package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.CrashingEndpoint;
import org.wingstall.standin.fleet.EndedEndpoint;
import org.wingstall.standin.fleet.FleetStandin;

/** Harmless requests were lost at endpoints that another request had ended, and quarantined with it. */
public class RelayEndedEndpointsTest {
    private static final int BOXES = 2;
    private static final int ENDPOINTS = 6;
    private static final int ENDED = 3;
    private static final int HARMLESS = 20;
    /** Time for which a box keeps new work away from an endpoint after a lost connection, in ms. */
    private static final long PAUSE_MS = 400;

    /** Time within which all boxes know that a request has ended its third endpoint, in ms. */
    private static final long KNOWN_MS = 3000;

    private static final String ROUTE = "repeatable";

    private final List<RelayBox> boxes = new ArrayList<>();
    private final List<EndedEndpoint> endpoints = new ArrayList<>();
    private FleetStandin fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 3000);
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(EndedEndpoint.start(fleet, "plain", "east", "p" + i));
        }
        for (int i = 0; i < BOXES; i++) {
            boxes.add(new RelayBox(fleet, "box-" + i).awaitReady());
        }
        Awaitility.await().until(() -> boxes.stream()
                .allMatch(box -> box.metrics().contains("wingstall_peers_heard " + (BOXES - 1) + ".0")));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        boxes.forEach(RelayBox::close);
        boxes.clear();
        endpoints.clear();
        fleet.close();
    }

    @DataProvider
    Object[][] delays() {
        return new Object[][] {{0}, {PAUSE_MS - 50}, {PAUSE_MS}, {PAUSE_MS + 50}, {2 * PAUSE_MS}};
    }

    /** Boxes send to an endpoint again some time after a lost connection, and lost requests at two of them in a row. */
    @Test(dataProvider = "delays")
    public void harmlessRequestsAreServedAfterEndpointsHaveEnded(long delayMs) {
        endThreeEndpoints();
        Pauses.ofMs(delayMs);
        List<CompletableFuture<RelayBox.Reply>> replies = new ArrayList<>();
        for (int i = 0; i < HARMLESS; i++) {
            int number = i;
            replies.add(CompletableFuture.supplyAsync(() -> boxes.get(number % BOXES)
                    .postBody(ROUTE, "harmless-" + number, "harmless " + number)
                    .orElseThrow()));
        }
        List<String> failed = replies.stream()
                .map(CompletableFuture::join)
                .filter(reply -> reply.status() != 200)
                .map(RelayBox.Reply::body)
                .toList();
        assertEquals(failed, List.of(), failed + counters());
    }

    private String counters() {
        return boxes.stream()
                .flatMap(box -> box.metrics().lines())
                .filter(line -> line.matches("wingstall_(retries|endpoint_losses|losses_after_end).*"))
                .collect(Collectors.joining("; ", " ", ""));
    }

    private void endThreeEndpoints() {
        for (int i = 0; i <= ENDED; i++) {
            boxes.get(i % BOXES).postBody(ROUTE, "crash-" + i, CrashingEndpoint.CRASH);
        }
        assertEquals(endpoints.stream().filter(EndedEndpoint::ended).count(), ENDED);
        Awaitility.await().atMost(KNOWN_MS, TimeUnit.MILLISECONDS).until(() -> boxes.stream()
                .allMatch(box -> box.metrics().contains("wingstall_requests_held_back 1.0")));
    }
}
