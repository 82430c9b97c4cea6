package org.wingstall.relay.run;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.retry.RetryBudget;

/** Tests that all boxes together stay within the fleet's retry budget without communication. */
public class ServiceRetryBudgetsTest {
    private static final double RATIO = 0.2;
    private static final int EXTRA = 58;
    private static final int REQUESTS_OF_A_BOX = 40;

    @DataProvider
    Object[][] fleets() {
        return new Object[][] {{1}, {9}, {86}, {300}};
    }

    private static int retries(RetryBudget budget) {
        int retries = 0;
        for (int i = 0; i < REQUESTS_OF_A_BOX; i++) {
            budget.recordCall();
            while (budget.tryRetry()) {
                retries++;
            }
        }
        return retries;
    }

    @Test(dataProvider = "fleets")
    public void everyBoxRetryingWhatItCanStaysWithinTheFleetsBudget(int boxes) {
        int retries = 0;
        for (int i = 0; i < boxes; i++) {
            retries += retries(
                    new ServiceRetryBudgets(new ServiceRetryBudgets.FleetBudget(RATIO, EXTRA, boxes)).of("plain"));
        }
        double allowed = RATIO * boxes * REQUESTS_OF_A_BOX + EXTRA;
        assertTrue(retries <= allowed, retries + " of " + allowed);
        assertTrue(retries > allowed / 2, retries + " of " + allowed);
    }
}
