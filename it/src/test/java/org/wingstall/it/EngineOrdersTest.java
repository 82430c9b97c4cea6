package org.wingstall.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Http;
import org.wingstall.it.harness.Pauses;
import org.wingstall.it.harness.Rows;
import org.wingstall.it.harness.TestFleet;
import org.wingstall.table.EditConflictException;
import org.wingstall.table.PlatformException;

/** Orders to engines under a lease: engines that check tokens (briza) and engines that don't (lumina). */
public class EngineOrdersTest {
    private static final Duration BOUND = Duration.ofSeconds(25);
    private static final long LOAD_MS = 300;
    private static final String ORDERS =
            "engineOrders: {leaseMs: 4000, guardMs: 300, callTimeoutMs: 1500, intervalMs: 100}";

    private TestFleet fleet;

    @BeforeClass
    public void startFleet() {
        fleet = new TestFleet("engine-orders")
                .endpoints("pool", "far", "constanta-a", 1, "--run-ms", "4", "--slots", "32")
                .endpoints("engine", "briza", "constanta-a", 3, "--load-ms", Long.toString(LOAD_MS), "--slots", "32")
                .endpoints("engine", "lumina", "constanta-a", 2, "--load-ms", "100", "--ignore-tokens")
                .gateway("box-1", "constanta-a", ORDERS)
                .gateway("box-2", "constanta-a", ORDERS)
                .begin(Rows.ROWS);
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    @AfterMethod(alwaysRun = true)
    public void heal() {
        fleet.healFaults();
        fleet.reviveBoxes();
        fleet.boxes().forEach(fleet::awaitReady);
    }

    /** Edits what services want, all in one edit. */
    private void want(long version, String... services) throws EditConflictException, PlatformException {
        Map<String, String> rows = new HashMap<>();
        for (String service : services) {
            rows.put(
                    "engine/" + service,
                    "{\"name\": \"" + service + "\", \"model\": \"m\", \"version\": " + version + "}");
        }
        fleet.table().overwrite(rows);
    }

    @Test
    public void anEditReachesEveryEngineOneAtATimeAndCutsNoCall() throws Exception {
        Calls calls = new Calls();
        AtomicBoolean over = new AtomicBoolean();
        Thread load = new Thread(() -> sendUntil(calls, over));
        load.start();
        want(1, "briza");
        awaitLoaded("briza", 1);
        want(2, "briza");
        awaitLoaded("briza", 2);
        over.set(true);
        load.join();
        assertEquals(
                Calls.outcomes(calls.await()).keySet(),
                java.util.Set.of("complete"),
                Calls.withoutAnswer(calls.await()));
        List<Long> loads = new ArrayList<>();
        for (TestFleet.Endpoint engine : fleet.endpoints("briza")) {
            orders(engine).forEach(order -> loads.add(order.path("atMs").asLong()));
        }
        loads.sort(Long::compare);
        for (int i = 1; i < loads.size(); i++) {
            assertTrue(loads.get(i) - loads.get(i - 1) >= LOAD_MS, "two engines loaded at once: " + loads);
        }
        assertEquals(loads.size(), 2 * fleet.endpoints("briza").size());
    }

    private void sendUntil(Calls calls, AtomicBoolean over) {
        for (int i = 0; !over.get(); i++) {
            calls.send(fleet.boxes().get(i % 2), "plan", "while loading " + i, null, i % 2 == 0);
            Pauses.ofMs(20);
        }
    }

    @DataProvider
    Object[][] ends() {
        return new Object[][] {{"killed", 31L}, {"stopped", 32L}};
    }

    @Test(dataProvider = "ends", dependsOnMethods = "anEditReachesEveryEngineOneAtATimeAndCutsNoCall", alwaysRun = true)
    public void aSuccessorGoesOnWithAHigherToken(String end, long version) throws Exception {
        TestFleet.Box holder = awaitHolder(null);
        long before = status(holder).path("token").asLong();
        if (end.equals("killed")) {
            holder.process().kill();
        } else {
            holder.process().terminate();
        }
        want(version, "briza");
        TestFleet.Box successor = awaitHolder(holder);
        assertTrue(status(successor).path("token").asLong() > before);
        awaitLoaded("briza", version);
        holder.process().awaitExit(70);
    }

    /** The order of the old holder is on its way when the holder is frozen; it comes after the successor's. */
    @Test(dependsOnMethods = "aSuccessorGoesOnWithAHigherToken", alwaysRun = true)
    public void aLateOrderOfAPausedHolderChangesNothingForGood() throws Exception {
        want(1, "lumina");
        awaitLoaded("lumina", 1);
        TestFleet.Box holder = awaitHolder(null);
        for (String service : List.of("briza", "lumina")) {
            fleet.endpoints(service).forEach(engine -> fleet.routeFaults(engine.route(), "{\"delayMs\": 9000}"));
        }
        want(41, "briza", "lumina");
        Awaitility.await("orders under way")
                .atMost(BOUND)
                .pollInterval(Duration.ofMillis(20))
                .until(() -> ordersSent(holder, 41) >= 2);
        holder.process().freeze();
        fleet.healFaults();
        want(42, "briza", "lumina");
        TestFleet.Box successor = awaitHolder(holder);
        long token = status(successor).path("token").asLong();
        awaitLoaded("briza", 42);
        awaitLoaded("lumina", 42);
        Awaitility.await("the late orders come")
                .atMost(BOUND)
                .until(() -> lateOrders("briza", 41) >= 1 && lateOrders("lumina", 41) >= 1);
        holder.process().thaw();
        for (TestFleet.Endpoint engine : fleet.endpoints("briza")) {
            long highest = 0;
            for (JsonNode order : orders(engine)) {
                boolean older = order.path("token").asLong() < highest;
                assertTrue(!older || !order.path("accepted").asBoolean(), "an older order was taken: " + order);
                highest = Math.max(highest, order.path("token").asLong());
            }
            assertTrue(highest <= token + 1);
        }
        awaitLoaded("briza", 42);
        awaitLoaded("lumina", 42);
    }

    private static long ordersSent(TestFleet.Box box, long version) {
        return box.process()
                .log()
                .lines()
                .filter(line ->
                        line.contains("\"engine-ordered\"") && line.matches(".*\"version\":" + version + "[,}].*"))
                .count();
    }

    private long lateOrders(String service, long version) throws IOException {
        long count = 0;
        for (TestFleet.Endpoint engine : fleet.endpoints(service)) {
            for (JsonNode order : orders(engine)) {
                if (order.path("target").path("version").asLong() == version) {
                    count++;
                }
            }
        }
        return count;
    }

    private static JsonNode orders(TestFleet.Endpoint engine) throws IOException {
        return Http.get(engine.address(), "/admin/orders").json();
    }

    private JsonNode status(TestFleet.Box box) throws IOException {
        return Http.get(box.operator(), "/v1/engines").json();
    }

    private TestFleet.Box awaitHolder(TestFleet.Box except) {
        List<TestFleet.Box> found = new ArrayList<>();
        Awaitility.await("a holder").atMost(BOUND).ignoreExceptions().until(() -> {
            found.clear();
            for (TestFleet.Box box : fleet.boxes()) {
                if (box != except && status(box).path("holds").asBoolean()) {
                    found.add(box);
                }
            }
            return !found.isEmpty();
        });
        return found.get(0);
    }

    /** Waits until every engine of the service, as it says itself, has the version and loads nothing. */
    private void awaitLoaded(String service, long version) {
        Awaitility.await(service + " has version " + version).atMost(BOUND).until(() -> {
            for (TestFleet.Endpoint engine : fleet.endpoints(service)) {
                JsonNode state = Http.get(engine.address(), "/v1/engine").json();
                boolean reached = state.path("loaded").path("version").asLong() == version
                        && !state.path("loading").asBoolean();
                if (!reached) {
                    return false;
                }
            }
            return true;
        });
    }
}
