package org.wingstall.it;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Fleets;
import org.wingstall.it.harness.Pauses;
import org.wingstall.it.harness.TestFleet;

/** The platform's store is down for long: what can go on goes on, what can't is refused at once. */
public class PlatformOutageTest {
    private static final int SECONDS = 5;
    private static final int ORDERS_PER_SECOND = 40;

    private TestFleet fleet;

    @BeforeClass
    public void startFleet() {
        fleet = Fleets.three("outage");
    }

    @AfterClass(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    @AfterMethod(alwaysRun = true)
    public void heal() {
        fleet.healFaults();
    }

    @DataProvider
    Object[][] outages() {
        return new Object[][] {{"{\"down\": true}"}, {"{\"silent\": true}"}};
    }

    @Test(dataProvider = "outages")
    public void repeatableRequestsGoOnAndOthersAreRefusedAtOnce(String outage) {
        fleet.platformFaults(outage);
        Awaitility.await("all gateways notice")
                .atMost(Duration.ofSeconds(20))
                .pollInterval(Duration.ofMillis(200))
                .until(() -> fleet.boxes().stream().allMatch(this::refusesAtOnce));
        Calls plans = new Calls();
        Calls orders = new Calls();
        for (int i = 0; i < SECONDS * ORDERS_PER_SECOND; i++) {
            TestFleet.Box box = fleet.boxes().get(i % 3);
            plans.send(box, "plan", "outage " + i, null, false);
            orders.send(box, "order", "outage " + i, outage.hashCode() + "-outage-" + i, false);
            Pauses.ofMs(1000 / ORDERS_PER_SECOND);
        }
        assertEquals(Calls.outcomes(plans.await()).keySet(), java.util.Set.of("complete"));
        for (Calls.Call order : orders.await()) {
            assertEquals(order.answer().path("reason").asText(), "table-unavailable");
            assertEquals(order.outcome(), "not-run");
            assertTrue(order.answer().path("retryAfterMs").asLong() > 0);
        }
        recoversWithoutAWave();
    }

    private boolean refusesAtOnce(TestFleet.Box box) {
        Calls calls = new Calls();
        calls.send(box, "order", "notice", "notice-" + System.nanoTime(), false);
        String detail = calls.await().get(0).answer().path("detail").asText();
        return detail.contains("gives no answers");
    }

    private void recoversWithoutAWave() {
        long before = platformCalls();
        long beganMs = System.currentTimeMillis();
        fleet.platformFaults("{}");
        fleet.boxes().forEach(this::awaitOrders);
        Pauses.ofMs(2000);
        double perSecond = (platformCalls() - before) * 1000.0 / (System.currentTimeMillis() - beganMs);
        System.out.println("platform calls a second after the outage: " + perSecond);
        assertTrue(perSecond < 100, "platform calls a second: " + perSecond);
    }

    private void awaitOrders(TestFleet.Box box) {
        Awaitility.await("orders are taken again")
                .atMost(Duration.ofSeconds(10))
                .until(() -> {
                    Calls calls = new Calls();
                    calls.send(box, "order", "back", "back-" + System.nanoTime(), false);
                    return calls.await().get(0).outcome().equals("complete");
                });
    }

    private long platformCalls() {
        var stats = fleet.admin("/admin/stats", TestFleet.tree("{}"));
        return stats.path("reads").asLong() + stats.path("writes").asLong();
    }

    @Test
    public void claimsOfADomainShareTransactions() {
        awaitOrders(fleet.box("box-a"));
        var before = fleet.admin("/admin/stats", TestFleet.tree("{}"));
        Calls calls = new Calls();
        for (int i = 0; i < 300; i++) {
            calls.send(fleet.box("box-a"), "order", "batch " + i, "batch-" + i, false);
            Pauses.ofMs(2);
        }
        List<Calls.Call> done = calls.await();
        assertEquals(Calls.outcomes(done).get("complete").intValue(), 300);
        long writes =
                fleet.admin("/admin/stats", TestFleet.tree("{}")).path("writes").asLong()
                        - before.path("writes").asLong();
        System.out.println("table writes for 300 claims and 300 records: " + writes);
        assertTrue(writes < 150, "writes: " + writes);
    }
}
