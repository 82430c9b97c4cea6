package org.wingstall.core.queue;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class GrantIntervalEstimatorTest {
    private static final double SLOT_BASED_MS = 777;

    private final AtomicLong nowMs = new AtomicLong();
    private GrantIntervalEstimator estimator;

    @BeforeMethod
    public void create() {
        estimator = new GrantIntervalEstimator(() -> TimeUnit.MILLISECONDS.toNanos(nowMs.get()));
    }

    private void grant(int precedence, int grants, long intervalMs) {
        for (int i = 0; i < grants; i++) {
            nowMs.addAndGet(intervalMs);
            estimator.recordGranted(precedence);
        }
    }

    @Test
    public void usesSlotBasedWaitUntilFirstMeasurement() {
        estimator.recordWaiting(3);
        assertEquals(estimator.waitMs(3, SLOT_BASED_MS), SLOT_BASED_MS);
        assertEquals(estimator.waitMs(7, SLOT_BASED_MS), SLOT_BASED_MS);
    }

    @Test
    public void waitGrowsWithWaitersAndMeanInterval() {
        for (int i = 0; i < 20; i++) {
            estimator.recordWaiting(3);
        }
        grant(3, 10, 20);
        assertEquals(estimator.waitMs(3, SLOT_BASED_MS), 11 * 20.0, 1e-6);
        assertEquals(estimator.waitMs(7, SLOT_BASED_MS), SLOT_BASED_MS, "each precedence has its own mean interval");
    }

    @Test
    public void waitGrowsWhilePrecedenceIsStarved() {
        for (int i = 0; i < 20; i++) {
            estimator.recordWaiting(3);
        }
        grant(3, 10, 20);
        double before = estimator.waitMs(3, SLOT_BASED_MS);
        nowMs.addAndGet(1020);
        assertEquals(estimator.waitMs(3, SLOT_BASED_MS), before + 11 * 100.0, 1e-6);
    }

    @Test
    public void timeWithoutWaitersIsNotCounted() {
        estimator.recordWaiting(3);
        grant(3, 1, 20);
        nowMs.addAndGet(60_000);
        estimator.recordWaiting(3);
        grant(3, 1, 20);
        estimator.recordWaiting(3);
        assertEquals(estimator.waitMs(3, SLOT_BASED_MS), 2 * 20.0, 1e-6);
    }
}
