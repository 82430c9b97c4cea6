package org.wingstall.core.peer;

import static org.testng.Assert.assertEquals;

import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Hubs hear every box of a large fleet; those that do no work for others need not be heard at each turn. */
public class HeartbeatThrottleTest {
    @DataProvider
    public Object[][] boxes() {
        return new Object[][] {{true, 100}, {false, 100 / HeartbeatThrottle.NON_HUB_INTERVAL_TICKS}};
    }

    @Test(dataProvider = "boxes")
    public void aBoxThatWorksForOthersIsHeardAtEachTurn(boolean worksForOthers, long heartbeats) {
        HeartbeatThrottle turns = new HeartbeatThrottle();
        assertEquals(
                IntStream.range(0, 100)
                        .filter(turn -> turns.isDue(worksForOthers))
                        .count(),
                heartbeats);
    }
}
