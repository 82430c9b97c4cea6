package org.wingstall.core.admit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class StageTimesTest {
    @Test
    public void expectedTimeIsUsedUntilThereAreEnoughSamples() {
        StageTimes times = new StageTimes(70);
        times.record(5);
        assertEquals(times.quantileMs(0.5), 70.0);
    }

    @Test
    public void quantilesAreAccurateToOneBucket() {
        StageTimes times = new StageTimes(70);
        for (int i = 1; i <= 1000; i++) {
            times.record(i);
        }
        assertEquals(times.quantileMs(0.5), 500, 500 * 0.2);
        assertEquals(times.quantileMs(0.9), 900, 900 * 0.2);
    }

    @Test
    public void oldSamplesLoseWeight() {
        StageTimes times = new StageTimes(70);
        for (int i = 0; i < 2000; i++) {
            times.record(10);
        }
        for (int i = 0; i < 4000; i++) {
            times.record(200);
        }
        assertTrue(times.quantileMs(0.2) > 100);
    }

    /** The calls that ran at the start of a gateway were slow together, and requests after them were refused. */
    @Test
    public void aFewSlowCallsDoNotOutweighTheExpectedTime() {
        StageTimes times = new StageTimes(20);
        for (int i = 0; i < 48; i++) {
            times.record(900);
        }
        assertEquals(times.quantileMs(0.5), 900, 900 * 0.2);
        assertEquals(times.estimateMs(0.5), 20, 20 * 0.2);
    }

    @Test
    public void manySlowCallsDo() {
        StageTimes times = new StageTimes(20);
        for (int i = 0; i < 200; i++) {
            times.record(900);
        }
        assertEquals(times.estimateMs(0.5), 900, 900 * 0.2);
    }
}
