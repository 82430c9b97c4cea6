package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.awaitility.Awaitility;
import org.testng.Reporter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.gateway.relay.RelayMain;
import org.wingstall.it.harness.TestProcess;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.NewConnectionCallers;
import org.wingstall.standin.fleet.NewConnectionCallers.Call;
import org.wingstall.standin.fleet.NewConnectionCallers.Counts;
import org.wingstall.standin.fleet.NewConnectionCallers.Outcome;
import org.wingstall.standin.fleet.NewConnectionCallers.Plan;
import org.wingstall.standin.fleet.StoreStandin;
import org.wingstall.standin.fleet.WorkerStandin;

/** A box that got most new connections read all their requests and served few of them in time. */
public class RelayNewConnectionFloodTest {
    private static final long DEADLINE_MS = 1500;
    private static final int USUAL_PER_SECOND = 10;
    private static final long USUAL_FOR_MS = 3000;

    /** Time from which first tries count after the flood has begun, in ms. */
    private static final long CONTACT_MS = 3000;

    private static final long COUNTED_MS = 3000;

    /** Least share of the tries that a box has read and that are served, relative to the time before the flood. */
    private static final double SERVED_SHARE = 0.75;

    /** Least share of the requests that are served at one of their tries, of those that any box has read. */
    private static final double SERVED_AT_LAST = 0.9;

    /** Least share of the unread first tries that are given back while two thirds of the caller's time are left. */
    private static final double GIVEN_BACK_EARLY = 0.9;

    private static final int FLOOD_PER_SECOND = 1200;

    /** Time of a call for pieces, in ms. */
    private static final long CALL_MS = 20;

    /** Makes each request as costly as on a box with a small share of a processor whose code is not compiled yet. */
    private static final List<String> SLOW = List.of("-Xint");

    private final List<TestProcess> boxes = new ArrayList<>();
    private final List<String> addresses = new ArrayList<>();
    private final List<String> readinessAddresses = new ArrayList<>();
    private FleetStandin fleet;
    private NewConnectionCallers callers;
    private Path folder;

    @BeforeMethod
    public void start() throws Exception {
        folder = Files.createTempDirectory("flood");
        fleet = new FleetStandin();
        fleet.configure(1, DEADLINE_MS);
        for (int i = 0; i < 3; i++) {
            fleet.add("engine", "east", "e" + i, new WorkerStandin("e" + i, 5, 0));
            fleet.add("plain", "east", "p" + i, new WorkerStandin("p" + i, 0, 0));
            fleet.add("first", "east", "f" + i, new WorkerStandin("f" + i, 0, CALL_MS));
            fleet.add("second", "east", "s" + i, new WorkerStandin("s" + i, 0, CALL_MS));
        }
        callers = new NewConnectionCallers("flood");
        startBox("flooded", SLOW);
        startBox("other", List.of());
        for (String readiness : readinessAddresses) {
            Awaitility.await().ignoreExceptions().until(() -> status(readiness) == 200);
        }
    }

    private static int status(String address) throws IOException {
        return ((HttpURLConnection)
                        URI.create("http://" + address + "/v1/readyz").toURL().openConnection())
                .getResponseCode();
    }

    private void startBox(String boxId, List<String> options) throws IOException {
        String settings = fleet.settings(boxId, "east");
        Path file = folder.resolve(boxId + ".yaml");
        Files.writeString(file, settings);
        addresses.add(FleetStandin.valueOf(settings, "callerAddress"));
        readinessAddresses.add(FleetStandin.valueOf(settings, "readinessAddress"));
        boxes.add(TestProcess.startWith(options, folder, boxId, RelayMain.class, "--settings", file.toString()));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        callers.close();
        boxes.forEach(TestProcess::close);
        boxes.clear();
        addresses.clear();
        readinessAddresses.clear();
        fleet.close();
    }

    /** Something that happens while the flood goes on. */
    private enum Beside {
        NOTHING {
            @Override
            void begin(RelayNewConnectionFloodTest test) {}
        },
        STORE_SILENT {
            @Override
            void begin(RelayNewConnectionFloodTest test) {
                test.fleet.store().mode(StoreStandin.Mode.SILENT);
            }
        },
        CONFIGURATION_CHANGED {
            @Override
            void begin(RelayNewConnectionFloodTest test) {
                test.fleet.configure(2, DEADLINE_MS);
            }
        },
        ENDPOINTS_GONE {
            @Override
            void begin(RelayNewConnectionFloodTest test) {
                List.of("e0", "p0").forEach(endpoint -> test.fleet.store().remove("servers", endpoint));
            }
        };

        abstract void begin(RelayNewConnectionFloodTest test);
    }

    @DataProvider
    Object[][] floods() {
        List<String> all = List.of("stream", "once", "repeatable");
        return new Object[][] {
            {List.of("repeatable"), Beside.NOTHING},
            {List.of("once"), Beside.NOTHING},
            {all, Beside.NOTHING},
            {all, Beside.STORE_SILENT},
            {all, Beside.CONFIGURATION_CHANGED},
            {all, Beside.ENDPOINTS_GONE},
        };
    }

    @Test(dataProvider = "floods")
    public void firstTriesThatABoxHasReadAreServedWhileItGetsMostNewConnections(List<String> routes, Beside beside) {
        Plan plan = new Plan(addresses.get(0), addresses.get(1), routes, DEADLINE_MS);
        callers.send(plan, USUAL_PER_SECOND, USUAL_FOR_MS);
        Counts before = Counts.of(callers.send(plan, USUAL_PER_SECOND, USUAL_FOR_MS));
        beside.begin(this);
        List<Call> flood = callers.send(plan, FLOOD_PER_SECOND, CONTACT_MS + COUNTED_MS);
        long countedFromMs = flood.get(0).sentMs() + CONTACT_MS;
        Counts during = Counts.of(
                flood.stream().filter(call -> call.sentMs() >= countedFromMs).toList());
        Counts after = Counts.of(callers.send(plan, USUAL_PER_SECOND, USUAL_FOR_MS));
        String counts = "before " + before + ", during " + during + ", after " + after;
        Reporter.log(counts, true);
        assertEquals(before.read(), before.sent(), "unread while the box was merely in use: " + counts);
        assertTrue(during.servedOfRead() >= SERVED_SHARE * before.servedOfRead(), counts);
        assertTrue(during.servedFirst() >= before.servedFirst() * COUNTED_MS / USUAL_FOR_MS, counts);
        assertTrue(during.served() >= SERVED_AT_LAST * during.readAtLast(), counts);
        assertTrue(
                givenBackEarly(flood) >= GIVEN_BACK_EARLY,
                givenBackEarly(flood) + " given back early; " + givenBackTimes(flood) + "; " + counts);
        assertEquals(after.read(), after.sent(), "unread after the flood: " + counts);
    }

    /** A box that gathers pieces for others could hold their requests up. */
    @Test
    public void requestsWithStagesAreServedAtOtherBoxesWhileOneGetsMostNewConnections() {
        Plan flooding = new Plan(addresses.get(0), addresses.get(0), List.of("repeatable"), DEADLINE_MS);
        Plan staged = new Plan(addresses.get(1), addresses.get(1), List.of("staged"), DEADLINE_MS);
        try (NewConnectionCallers others = new NewConnectionCallers("staged")) {
            others.send(staged, USUAL_PER_SECOND, USUAL_FOR_MS);
            Counts before = Counts.of(others.send(staged, USUAL_PER_SECOND, USUAL_FOR_MS));
            CompletableFuture<List<Call>> flood = CompletableFuture.supplyAsync(
                    () -> callers.send(flooding, FLOOD_PER_SECOND, CONTACT_MS + COUNTED_MS));
            others.send(staged, USUAL_PER_SECOND, CONTACT_MS);
            Counts during = Counts.of(others.send(staged, USUAL_PER_SECOND, COUNTED_MS));
            flood.join();
            String counts = "before " + before + ", during " + during;
            Reporter.log(counts, true);
            assertTrue(during.servedOfRead() >= SERVED_SHARE * before.servedOfRead(), counts);
        }
    }

    /** Returns the number of unread first tries by the time that they took, in hundreds of ms. */
    private static Map<Long, Long> givenBackTimes(List<Call> calls) {
        return calls.stream()
                .filter(call -> call.first() == Outcome.UNREAD)
                .collect(Collectors.groupingBy(call -> call.firstTookMs() / 100, TreeMap::new, Collectors.counting()));
    }

    private static double givenBackEarly(List<Call> calls) {
        return calls.stream()
                .filter(call -> call.first() == Outcome.UNREAD)
                .mapToInt(call -> call.firstTookMs() <= DEADLINE_MS / 3 ? 1 : 0)
                .average()
                .orElse(1);
    }
}
