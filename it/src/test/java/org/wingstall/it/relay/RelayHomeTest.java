package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;

import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;

/** Requests of routes and workspaces that are bound to regions run there only, and where both bind, where both allow. */
public class RelayHomeTest {
    private static final int REQUESTS = 20;

    private FleetStandin fleet;
    private RelayBox box;
    private WorkerStandin home;
    private WorkerStandin abroad;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
        home = new WorkerStandin("p-east", 0, 0);
        abroad = new WorkerStandin("p-west", 0, 0);
        fleet.add("plain", "east", "p-east", home);
        fleet.add("plain", "west", "p-west", abroad);
        fleet.configure(1, 1000);
        box = new RelayBox(fleet, "bound").awaitReady();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        box.close();
        fleet.close();
    }

    private int send(String route, String key) {
        int status = 0;
        for (int i = 0; i < REQUESTS; i++) {
            status = RelayBox.send(box.request(route, route + key + i)
                            .setHeader("X-Api-Key", key)
                            .build())
                    .status();
        }
        return status;
    }

    /** Route, key, and the requests that may run at home and abroad. */
    @DataProvider
    public Object[][] bindings() {
        return new Object[][] {
            {"homed", FleetStandin.KEY, REQUESTS, 0},
            {"foreign", FleetStandin.KEY, 0, REQUESTS},
            {"homed", FleetStandin.BOUND_KEY, REQUESTS, 0},
            {"repeatable", FleetStandin.BOUND_KEY, REQUESTS, 0},
        };
    }

    @Test(dataProvider = "bindings")
    public void requestsRunWhereRouteAndWorkspaceAllow(String route, String key, int atHome, int abroadRuns) {
        assertEquals(send(route, key), 200);
        assertEquals(home.runs().size(), atHome);
        assertEquals(abroad.runs().size(), abroadRuns);
    }

    /** The endpoint at home fails, and the one abroad would answer. */
    @Test
    public void aRetryStaysAtHome() {
        home.behave(WorkerStandin.Behaviour.FAILS);
        assertEquals(send("homed", FleetStandin.KEY), 500);
        assertEquals(abroad.runs().size(), 0);
    }

    @Test
    public void requestsThatMayRunNowhereAreRefusedForGood() {
        assertEquals(send("foreign", FleetStandin.BOUND_KEY), 403);
        assertEquals(home.runs().size() + abroad.runs().size(), 0);
    }

    @Test
    public void anEvacuatedHomeIsNoReasonToGoAbroad() {
        fleet.store().put("op", "evacuate/east", "{}");
        Awaitility.await().until(() -> send("homed", FleetStandin.KEY) == 503);
        assertEquals(abroad.runs().size(), 0);
    }
}
