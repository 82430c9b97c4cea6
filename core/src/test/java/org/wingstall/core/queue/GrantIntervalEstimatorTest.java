package org.wingstall.core.queue;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class GrantIntervalEstimatorTest {
    private static final double BY_SLOTS_MS = 777;

    private final AtomicLong nowMs = new AtomicLong();
    private GrantIntervalEstimator pace;

    @BeforeMethod
    public void create() {
        pace = new GrantIntervalEstimator(() -> TimeUnit.MILLISECONDS.toNanos(nowMs.get()));
    }

    private void serve(int precedence, int grants, long gapMs) {
        for (int i = 0; i < grants; i++) {
            nowMs.addAndGet(gapMs);
            pace.recordGranted(precedence);
        }
    }

    @Test
    public void theSlotsCountUntilSomethingWasMeasured() {
        pace.recordWaiting(3);
        assertEquals(pace.waitMs(3, BY_SLOTS_MS), BY_SLOTS_MS);
        assertEquals(pace.waitMs(7, BY_SLOTS_MS), BY_SLOTS_MS);
    }

    @Test
    public void aNewWaiterWaitsForAllBeforeItAtTheMeasuredPace() {
        for (int i = 0; i < 20; i++) {
            pace.recordWaiting(3);
        }
        serve(3, 10, 20);
        assertEquals(pace.waitMs(3, BY_SLOTS_MS), 11 * 20.0, 1e-6);
        assertEquals(pace.waitMs(7, BY_SLOTS_MS), BY_SLOTS_MS, "another precedence has a pace of its own");
    }

    @Test
    public void aStarvedPrecedenceIsToldToWaitLongerAndLonger() {
        for (int i = 0; i < 20; i++) {
            pace.recordWaiting(3);
        }
        serve(3, 10, 20);
        double before = pace.waitMs(3, BY_SLOTS_MS);
        nowMs.addAndGet(1020);
        assertEquals(pace.waitMs(3, BY_SLOTS_MS), before + 11 * 100.0, 1e-6);
    }

    @Test
    public void theTimeInWhichNobodyWaitedIsNoGap() {
        pace.recordWaiting(3);
        serve(3, 1, 20);
        nowMs.addAndGet(60_000);
        pace.recordWaiting(3);
        serve(3, 1, 20);
        pace.recordWaiting(3);
        assertEquals(pace.waitMs(3, BY_SLOTS_MS), 2 * 20.0, 1e-6);
    }
}
