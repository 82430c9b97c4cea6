package org.wingstall.it.relay;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;

/**
 * An endpoint that has just started, or says that it is cold, falls over under more than a few requests a second. All boxes
 * together keep to that, whichever of them its requests come through.
 */
public class RelayColdEndpointTest {
    private static final long WINDOW_MS = 1000;
    private static final int BOXES = 3;
    private static final int REQUESTS = 120;
    private static final long COLD_MS = 60_000;

    /** Time for all boxes to know each other and the list, in ms; a box reads both within its first seconds. */
    private static final long SETTLE_MS = 4000;

    private final ConcurrentLinkedQueue<Long> arrivalsMs = new ConcurrentLinkedQueue<>();
    private final List<RelayBox> boxes = new ArrayList<>();
    private FleetStandin fleet;

    @BeforeMethod
    public void start() throws Exception {
        arrivalsMs.clear();
        fleet = new FleetStandin();
        fleet.configure(1, 3000);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        boxes.forEach(RelayBox::close);
        boxes.clear();
        fleet.close();
    }

    private void startBoxes() throws Exception {
        for (int i = 0; i < BOXES; i++) {
            boxes.add(new RelayBox(fleet, "cold-" + i));
        }
        boxes.forEach(RelayBox::awaitReady);
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SETTLE_MS));
    }

    private String addWatched(String service, long coldMs) throws Exception {
        WorkerStandin worker = new WorkerStandin("watched", 0, 0);
        worker.observe(arrival -> arrivalsMs.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime())));
        String address = fleet.start(worker);
        fleet.list(service, "east", "watched", address, "ready", coldMs);
        return address;
    }

    private void burst(String route) {
        List<CompletableFuture<RelayBox.Reply>> replies = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            replies.add(boxes.get(i % BOXES).postAsync(route, route + "-burst-" + i));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
        }
        replies.forEach(CompletableFuture::join);
    }

    private int mostInAWindow() {
        List<Long> sorted = arrivalsMs.stream().sorted().toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < sorted.size(); last++) {
            while (sorted.get(last) - sorted.get(first) >= WINDOW_MS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    @DataProvider
    public Object[][] routes() {
        return new Object[][] {{"warming"}, {"warming-plain"}};
    }

    /** The whole pool is cold and a burst comes: what is let in is what it bears, and it is not nothing. */
    @Test(dataProvider = "routes")
    public void anEndpointThatSaysThatItIsColdGetsNoMoreThanItBears(String service) throws Exception {
        addWatched(service, COLD_MS);
        startBoxes();
        burst(service);
        assertTrue(mostInAWindow() <= FleetStandin.COLD_PER_SECOND, "requests in a second: " + mostInAWindow());
        assertTrue(!arrivalsMs.isEmpty());
    }

    @Test(dataProvider = "routes")
    public void anEndpointThatStartsIsColdFromItsFirstEntryOn(String service) throws Exception {
        fleet.add(service, "east", "there-before", new WorkerStandin("there-before", 0, 0));
        startBoxes();
        addWatched(service, 0);
        burst(service);
        assertTrue(mostInAWindow() <= FleetStandin.COLD_PER_SECOND, "requests in a second: " + mostInAWindow());
    }

    @Test(dataProvider = "routes")
    public void anEndpointThatIsWarmAgainGetsWorkAsBefore(String service) throws Exception {
        String address = addWatched(service, COLD_MS);
        startBoxes();
        burst(service);
        fleet.list(service, "east", "watched", address, "ready", 0);
        Awaitility.await().until(() -> {
            burst(service);
            return mostInAWindow() > FleetStandin.COLD_PER_SECOND;
        });
    }
}
