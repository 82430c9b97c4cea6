package org.wingstall.core.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.admit.StageTimes;

public class HedgePolicyTest {
    private static StageTimes times(int samples) {
        StageTimes times = new StageTimes(100);
        for (int i = 0; i < samples; i++) {
            times.record(i < samples * 9 / 10 ? 40 : 400);
        }
        return times;
    }

    @DataProvider
    Object[][] policiesThatNeverHedge() {
        return new Object[][] {
            {"switched off", new NoHedge(), times(100)}, {"nothing measured", new QuantileHedgePolicy(0.95), times(3)},
        };
    }

    @Test(dataProvider = "policiesThatNeverHedge")
    public void callIsNotHedged(String name, HedgePolicy policy, StageTimes times) {
        assertEquals(policy.delayMs(times), OptionalLong.empty());
    }

    @Test
    public void hedgeStartsAfterTheQuantileOfRecentTimes() {
        long medianMs = new QuantileHedgePolicy(0.5).delayMs(times(100)).orElseThrow();
        long p95Ms = new QuantileHedgePolicy(0.95).delayMs(times(100)).orElseThrow();
        assertTrue(medianMs >= 40 && medianMs < 60, "after " + medianMs + " ms");
        assertTrue(p95Ms >= 400 && p95Ms < 600, "after " + p95Ms + " ms");
    }
}
