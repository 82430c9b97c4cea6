package org.wingstall.core.queue;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class GrantPaceTest {
    private final AtomicLong nowMs = new AtomicLong();
    private GrantPace pace;

    @BeforeMethod
    public void create() {
        pace = new GrantPace(() -> TimeUnit.MILLISECONDS.toNanos(nowMs.get()));
    }

    private void serve(int precedence, int grants, long gapMs) {
        for (int i = 0; i < grants; i++) {
            nowMs.addAndGet(gapMs);
            pace.granted(precedence);
        }
    }

    @Test
    public void nothingIsSaidUntilSomethingWasMeasured() {
        pace.waiting(3);
        assertTrue(pace.waitMs(3) < 0);
        assertTrue(pace.waitMs(7) < 0);
    }

    @Test
    public void aNewWaiterWaitsForAllBeforeItAtTheMeasuredPace() {
        for (int i = 0; i < 20; i++) {
            pace.waiting(3);
        }
        serve(3, 10, 20);
        assertEquals(pace.waitMs(3), 11 * 20.0, 1e-6);
        assertTrue(pace.waitMs(7) < 0, "another precedence has a pace of its own");
    }

    @Test
    public void aStarvedPrecedenceIsToldToWaitLongerAndLonger() {
        for (int i = 0; i < 20; i++) {
            pace.waiting(3);
        }
        serve(3, 10, 20);
        double before = pace.waitMs(3);
        nowMs.addAndGet(1020);
        assertEquals(pace.waitMs(3), before + 11 * 100.0, 1e-6);
    }

    @Test
    public void theTimeInWhichNobodyWaitedIsNoGap() {
        pace.waiting(3);
        serve(3, 1, 20);
        nowMs.addAndGet(60_000);
        pace.waiting(3);
        serve(3, 1, 20);
        pace.waiting(3);
        assertEquals(pace.waitMs(3), 2 * 20.0, 1e-6);
    }
}
