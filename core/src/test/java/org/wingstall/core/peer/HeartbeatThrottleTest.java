package org.wingstall.core.peer;

import static org.testng.Assert.assertEquals;

import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Hubs of a large fleet receive heartbeats from every box; boxes that do no work for others do not send one at every
 * tick.
 */
public class HeartbeatThrottleTest {
    @DataProvider
    public Object[][] boxes() {
        return new Object[][] {{true, 100}, {false, 100 / HeartbeatThrottle.NON_HUB_INTERVAL_TICKS}};
    }

    @Test(dataProvider = "boxes")
    public void sendsAtEveryTickOnlyWhenWorkingForOthers(boolean worksForOthers, long heartbeats) {
        HeartbeatThrottle throttle = new HeartbeatThrottle();
        assertEquals(
                IntStream.range(0, 100)
                        .filter(tick -> throttle.isDue(worksForOthers))
                        .count(),
                heartbeats);
    }
}
