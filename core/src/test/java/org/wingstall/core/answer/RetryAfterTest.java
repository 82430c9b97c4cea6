package org.wingstall.core.answer;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks how far retry times are spread. */
public class RetryAfterTest {
    @DataProvider
    public Object[][] times() {
        return new Object[][] {
            {RetryTime.estimated(2000), 3000},
            {RetryTime.scheduled(2000), 2050},
            {RetryTime.scheduled(0), 100},
            {RetryTime.scheduled(40_000), 30_050},
        };
    }

    /** Guards against jitter that moves callers away from the step that is reserved for them. */
    @Test(dataProvider = "times")
    public void scheduledTimesAreSpreadWithinAStep(RetryTime time, long hintMs) {
        assertEquals(new RetryAfter(() -> 0.5).hintMs(time), hintMs);
    }
}
