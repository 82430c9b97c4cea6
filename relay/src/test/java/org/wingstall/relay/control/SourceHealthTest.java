package org.wingstall.relay.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.wire.SourceException;

public class SourceHealthTest {
    private final SourceException failure = new SourceException(SourceException.Kind.REFUSED, "down");

    @DataProvider
    Object[][] pauses() {
        return new Object[][] {{1, true, 250}, {2, true, 500}, {3, true, 1000}, {9, true, 1000}, {9, false, 250}};
    }

    @Test(dataProvider = "pauses")
    public void pausesGrowWhileSomethingIsKnown(int failures, boolean known, long expectedMs) {
        SourceHealth health = new SourceHealth("test");
        for (int i = 0; i < failures; i++) {
            health.recordResult(failure);
        }
        assertFalse(health.available());
        assertEquals(health.retryDelayMs(known), expectedMs);
    }

    @Test
    public void anAnswerClearsAll() {
        SourceHealth health = new SourceHealth("test");
        health.recordResult(failure);
        health.recordResult(failure);
        health.recordResult(null);
        assertTrue(health.available());
        health.recordResult(failure);
        assertEquals(health.retryDelayMs(true), 250);
    }
}
