package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;

/** One box chooses the engines of a service for all; the others serve without it. */
public class RelayEnginesTest {
    private static final int BOXES = 3;
    private static final int REQUESTS = 12;

    private FleetStandin fleet;
    private final List<RelayBox> boxes = new ArrayList<>();

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        fleet.configure(1, 5000);
        for (String id : List.of("e1", "e2")) {
            fleet.add("engine", "east", id, new WorkerStandin(id, 3, 0));
        }
        for (int i = 0; i < BOXES; i++) {
            boxes.add(new RelayBox(fleet, "engines-" + i).awaitReady());
        }
        Awaitility.await().until(() -> boxes.stream().allMatch(RelayEnginesTest::linked));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        boxes.forEach(RelayBox::close);
        boxes.clear();
        fleet.close();
    }

    private static boolean linked(RelayBox box) {
        return box.metrics().contains("wingstall_peers_heard 2.0");
    }

    private static int choices(RelayBox box, String by) {
        String name = "wingstall_engine_choices_total{by=\"" + by + "\"} ";
        return box.metrics()
                .lines()
                .filter(line -> line.startsWith(name))
                .mapToInt(line -> (int) Double.parseDouble(line.substring(name.length())))
                .sum();
    }

    private void serve(RelayBox box, String prefix) {
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(box.post("stream", prefix + "-" + i).status(), 200);
        }
    }

    /** Each box either asks the one that chooses or goes by itself when that is late, which a busy machine brings about. */
    @Test
    public void oneBoxChoosesForTheOthers() {
        IntStream.range(0, BOXES).forEach(i -> serve(boxes.get(i), "request-" + i));
        int here = boxes.stream().mapToInt(box -> choices(box, "this-box")).sum();
        int elsewhere = boxes.stream()
                .mapToInt(box -> choices(box, "chooser") + choices(box, "late"))
                .sum();
        assertEquals(here, REQUESTS);
        assertEquals(elsewhere, (BOXES - 1) * REQUESTS);
    }

    @Test
    public void withoutTheChooserTheOthersGoOn() {
        RelayBox chooser = boxes.stream()
                .filter(box -> {
                    serve(box, "who-" + boxes.indexOf(box));
                    return choices(box, "this-box") > 0;
                })
                .findFirst()
                .orElseThrow();
        chooser.close();
        boxes.remove(chooser);
        IntStream.range(0, BOXES - 1).forEach(i -> serve(boxes.get(i), "after-" + i));
        int elsewhereOrHere =
                boxes.stream().mapToInt(box -> choices(box, "this-box")).sum();
        assertTrue(elsewhereOrHere >= REQUESTS, "one of those left chooses now: " + elsewhereOrHere);
    }
}
