package org.wingstall.it.relay;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Pauses;
import org.wingstall.standin.fleet.BrittleRoom;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;

/** Boxes sent brittle endpoints more than they had room for, and their rejections made the endpoints fail. */
public class RelayBrittleEndpointTest {
    private static final int BOXES = 4;
    private static final int ENDPOINTS = 2;
    private static final int PLACES = 3;
    private static final int WORK_MS = 100;
    private static final int ROUNDS = 60;
    private static final long ROUND_MS = 50;

    /** Failures that are allowed in one time in which the endpoints of a service are brittle. */
    private static final double ALLOWED_FAILURES = 2 + 0.1 * ENDPOINTS;

    private final List<RelayBox> boxes = new ArrayList<>();
    private final List<BrittleRoom> rooms = new ArrayList<>();
    private final List<WorkerStandin> workers = new ArrayList<>();
    private FleetStandin fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 3000);
        for (int i = 0; i < ENDPOINTS; i++) {
            workers.add(new WorkerStandin("p" + i, 0, 0));
            fleet.add("plain", "east", "p" + i, workers.get(i));
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
        rooms.clear();
        workers.clear();
        fleet.close();
    }

    @DataProvider
    Object[][] loads() {
        return new Object[][] {{4, "once"}, {4, "repeatable"}, {10, "repeatable"}};
    }

    @Test(dataProvider = "loads")
    public void brittleEndpointsRarelyFailUnderTwiceTheirLoad(int maxRejectionsPerSecond, String route) {
        for (WorkerStandin worker : workers) {
            BrittleRoom room = new BrittleRoom(PLACES, WORK_MS, maxRejectionsPerSecond);
            worker.turnBrittle(room);
            rooms.add(room);
        }
        List<CompletableFuture<RelayBox.Reply>> replies = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            for (int box = 0; box < BOXES; box++) {
                replies.add(boxes.get(box).postAsync(route, "r-" + round + "-" + box));
            }
            Pauses.ofMs(ROUND_MS);
        }
        long served =
                replies.stream().filter(reply -> reply.join().status() == 200).count();
        int failures = rooms.stream().mapToInt(BrittleRoom::failures).sum();
        assertTrue(failures <= ALLOWED_FAILURES, failures + " failures, " + served + " served");
        long capacity = ENDPOINTS * PLACES * ROUNDS * ROUND_MS / WORK_MS;
        assertTrue(served >= capacity / 3, served + " served of " + capacity + " that there is room for");
    }
}
