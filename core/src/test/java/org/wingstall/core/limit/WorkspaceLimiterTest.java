package org.wingstall.core.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.answer.RefusedException;
import org.wingstall.core.answer.RetryAfter;
import org.wingstall.schema.table.WorkspaceRow;

public class WorkspaceLimiterTest {
    private long nowMs;

    @DataProvider
    Object[][] fleets() {
        return new Object[][] {
            {9, 9, List.of(10.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)},
            {9, 9, List.of(5.0, 5.0, 90.0, 0.0, 0.0, 1.0, 1.0, 1.0, 1.0)},
            {9, 3, List.of(5.0, 1.0, 1.0)},
            {9, 1, List.of(50.0)},
            {1, 1, List.of(3.0)},
        };
    }

    @Test(dataProvider = "fleets")
    public void sharesOfReachableBoxesNeverExceedTheirPartOfTheLimit(int known, int reachable, List<Double> demand) {
        double total = demand.stream().mapToDouble(d -> d).sum();
        double sum = 0;
        for (double own : demand) {
            double share = WorkspaceShares.share(100, known, reachable, own, total);
            assertTrue(share > 0);
            sum += share;
        }
        assertTrue(sum <= 100.0 * reachable / known + 1e-9, "sum " + sum);
    }

    @Test
    public void newlyActiveWorkspaceGetsAnEqualShareUntilDemandIsKnown() {
        WorkspaceLimiter limiter = limiter(3, Map.of());
        assertEquals(acceptedIn(limiter, 5), 5 * 30 / 3, 2);
    }

    @Test
    public void shareFollowsDemandAfterItHasSettled() {
        WorkspaceLimiter limiter = limiter(3, Map.of());
        acceptedIn(limiter, 8);
        assertTrue(acceptedIn(limiter, 4) > 4 * 30 * 0.75);
    }

    private WorkspaceLimiter limiter(int boxes, Map<String, Double> others) {
        WorkspaceLimiter limiter =
                new WorkspaceLimiter(() -> TimeUnit.MILLISECONDS.toNanos(nowMs), new RetryAfter(() -> 0.5));
        limiter.updateFleet(boxes, boxes, others, 1000);
        return limiter;
    }

    private int acceptedIn(WorkspaceLimiter limiter, int seconds) {
        WorkspaceRow row = new WorkspaceRow("w", 1, 30);
        int accepted = 0;
        for (int i = 0; i < seconds * 100; i++) {
            nowMs += 10;
            try {
                limiter.admit(row);
                accepted++;
            } catch (RefusedException e) {
                assertTrue(e.retryAfterMs() > 0);
            }
        }
        return accepted;
    }
}
