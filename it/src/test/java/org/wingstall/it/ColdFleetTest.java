package org.wingstall.it;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.it.harness.Calls;
import org.wingstall.it.harness.Fleets;
import org.wingstall.it.harness.Pauses;
import org.wingstall.it.harness.TestFleet;

/** A gateway whose first calls were slow refused requests for which there was time and capacity. */
public class ColdFleetTest {
    private static final int REQUESTS = 200;

    private TestFleet fleet;

    @BeforeMethod
    public void startFleet() {
        fleet = Fleets.three("cold-fleet");
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() {
        fleet.close();
    }

    @DataProvider
    Object[][] firstCalls() {
        return new Object[][] {{60}, {120}};
    }

    /** All first calls take as long as the service stands still, far less than the 3 s of an order. */
    @Test(dataProvider = "firstCalls")
    public void requestsAfterSlowFirstCallsAreAdmitted(int firstCalls) {
        List<TestFleet.Endpoint> far = fleet.endpoints("far");
        far.forEach(endpoint -> endpoint.process().freeze());
        Calls first = orders("first", firstCalls);
        Pauses.ofMs(900);
        far.forEach(endpoint -> endpoint.process().thaw());
        Calls second = orders("second", REQUESTS);
        assertComplete(first, firstCalls);
        assertComplete(second, REQUESTS);
    }

    private Calls orders(String name, int count) {
        Calls calls = new Calls();
        for (int i = 0; i < count; i++) {
            calls.send(fleet.box("box-b"), "order", name + " " + i, name + "-" + i, false);
            Pauses.ofMs(1);
        }
        return calls;
    }

    private static void assertComplete(Calls calls, int count) {
        List<Calls.Call> done = calls.await();
        assertEquals(Calls.outcomes(done), Map.of("complete", count), Calls.withoutAnswer(done));
    }
}
