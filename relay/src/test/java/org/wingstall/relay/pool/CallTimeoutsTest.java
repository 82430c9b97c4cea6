package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.config.PoolSpec;

public class CallTimeoutsTest {
    private static final PoolSpec SPEC = new PoolSpec(1, 2, 8, 150, 16, 43_000_000, 4000);
    private static final int ENDPOINTS = 4;

    private final CallTimeouts timeouts = new CallTimeouts();

    private long fullCallMs() {
        return timeouts.timeoutMs(SPEC, SPEC.maxBatchSize(), ENDPOINTS);
    }

    private void answeredAfter(long tookMs) {
        timeouts.recordAnswer(SPEC, SPEC.maxBatchSize(), tookMs);
    }

    @Test
    public void stoppedEndpointHoldsItsPiecesForAtMostThreeCalls() {
        for (int i = 0; i < 20; i++) {
            timeouts.recordLoss();
            answeredAfter(200);
        }
        assertEquals(fullCallMs(), 3 * Math.round(SPEC.callMs(SPEC.maxBatchSize())));
    }

    @Test
    public void timeoutGrowsUpToALimitWhileAllEndpointsAreSlow() {
        long usualMs = fullCallMs();
        for (int i = 0; i < ENDPOINTS; i++) {
            timeouts.recordLoss();
        }
        assertEquals(fullCallMs(), 2 * usualMs);
        for (int i = 0; i < 10 * ENDPOINTS; i++) {
            timeouts.recordLoss();
        }
        assertEquals(fullCallMs(), 4 * usualMs);
        answeredAfter(usualMs + 1);
        assertEquals(fullCallMs(), 4 * usualMs);
        answeredAfter(200);
        assertEquals(fullCallMs(), usualMs);
    }

    /** Slowdown factor of an endpoint, and the timeout of a full call to it, in durations of a full call. */
    @DataProvider
    public Object[][] slowdowns() {
        return new Object[][] {{1.0, 3.0}, {1.3, 3.0}, {2.0, 4.0}, {5.0, 8.5}};
    }

    /** Guards against calls to a slow endpoint that are lost although it runs them. */
    @Test(dataProvider = "slowdowns")
    public void callToASlowEndpointMayTakeLonger(double slowdown, double expectedCalls) {
        CallTimeouts fresh = new CallTimeouts();
        assertEquals(
                fresh.timeoutMs(SPEC, SPEC.maxBatchSize(), ENDPOINTS, slowdown),
                Math.round(expectedCalls * SPEC.callMs(SPEC.maxBatchSize())));
    }
}
