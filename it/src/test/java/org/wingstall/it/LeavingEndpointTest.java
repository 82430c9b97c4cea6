package org.wingstall.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Fleets;
import org.wingstall.it.harness.Http;
import org.wingstall.it.harness.Pauses;
import org.wingstall.it.harness.TestFleet;
import org.wingstall.schema.platform.Member;

/** Promise 5: an endpoint that is leaving receives no new work after a few seconds. */
public class LeavingEndpointTest {
    private static final long FEW_SECONDS_MS = 4000;
    /** One read by each box falls into this time. */
    private static final long SLOW_MS = 2300;

    private static final long LOAD_MS = 7000;

    private TestFleet fleet;
    private TestFleet.Endpoint leaving;

    @BeforeMethod
    public void startFleet() {
        fleet = Fleets.three("leaving");
        leaving = fleet.endpoint("far-constanta-a-0");
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    private interface Situation {
        void arrange(TestFleet fleet, TestFleet.Endpoint leaving);
    }

    @DataProvider
    Object[][] situations() {
        Situation listed = (fleet, endpoint) -> fleet.register(endpoint, Member.State.LEAVING);
        Situation listLags = (fleet, endpoint) -> {
            fleet.admin("/admin/members/lag?ms=600000", TestFleet.tree("{}"));
            fleet.endpointFaults(endpoint, "{\"leaving\": true}");
        };
        Situation domainCut = (fleet, endpoint) -> {
            fleet.cutDomain("constanta-a", true);
            fleet.endpointFaults(endpoint, "{\"leaving\": true}");
        };
        Situation listedWhilePlatformIsSlow = (fleet, endpoint) -> {
            fleet.platformFaults("{\"delayMs\": 700}");
            fleet.register(endpoint, Member.State.LEAVING);
            CompletableFuture.delayedExecutor(SLOW_MS, TimeUnit.MILLISECONDS).execute(() -> fleet.platformFaults("{}"));
        };
        return new Object[][] {
            {"the list says so", listed},
            {"the list lags", listLags},
            {"its domain is cut off", domainCut},
            {"the list says so, and for a moment comes too late", listedWhilePlatformIsSlow},
        };
    }

    @Test(dataProvider = "situations")
    public void aLeavingEndpointGetsNoNewWork(String name, Situation situation) {
        Calls calls = new Calls();
        sendFor(calls, 500);
        long beganMs = System.currentTimeMillis();
        situation.arrange(fleet, leaving);
        sendFor(calls, LOAD_MS);
        calls.await();
        long lastMs = stat("lastArrivalMs") - beganMs;
        System.out.println(name + ": last arrival after " + lastMs + " ms, " + Calls.outcomes(calls.await()));
        assertTrue(lastMs < FEW_SECONDS_MS, "last arrival after " + lastMs + " ms");
    }

    private void sendFor(Calls calls, long ms) {
        long untilMs = System.currentTimeMillis() + ms;
        for (int i = 0; System.currentTimeMillis() < untilMs; i++) {
            calls.send(fleet.boxes().get(i % 3), "plan", "leaving " + i, null, false);
            Pauses.ofMs(10);
        }
    }

    private long stat(String name) {
        try {
            return Http.get(leaving.address(), "/admin/stats").json().path(name).asLong();
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    public void aBoxThatCantReadTheListLearnsWhoLeavesFromItsPeers() {
        fleet.routeFaults(fleet.box("box-a").platformRoute(), "{\"cut\": true}");
        fleet.register(leaving, Member.State.LEAVING);
        awaitLeavingEverywhere();
    }

    private void awaitLeavingEverywhere() {
        for (TestFleet.Box box : fleet.boxes()) {
            Awaitility.await(box.id() + " knows")
                    .atMost(Duration.ofMillis(FEW_SECONDS_MS))
                    .until(() -> fleet.stateAt(box, leaving.id()).equals("leaving"));
        }
    }

    @Test
    public void aGatewayThatNeverCalledItLearnsFromItsPeers() {
        fleet.admin("/admin/members/lag?ms=600000", TestFleet.tree("{}"));
        fleet.endpointFaults(leaving, "{\"leaving\": true}");
        Calls first = new Calls();
        for (int i = 0; i < 20; i++) {
            first.send(fleet.box("box-a"), "plan", "first " + i, null, false);
        }
        first.await();
        awaitLeavingEverywhere();
        long before = stat("arrived");
        Calls second = new Calls();
        for (int i = 0; i < 20; i++) {
            second.send(fleet.box("box-c"), "plan", "second " + i, null, false);
        }
        second.await();
        assertEquals(stat("arrived"), before);
    }
}
