package org.wingstall.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PeriodicTaskTest {
    private static final int RUNS = 5;

    private final EventLoop loop = EventLoops.group("test", 1).next();

    @AfterClass(alwaysRun = true)
    public void stopLoop() {
        loop.shutdownGracefully();
    }

    @DataProvider
    Object[][] moments() {
        return new Object[][] {
            {1_000, 100, 100},
            {1_001, 100, 99},
            {1_049, 100, 51},
            {1_051, 100, 149},
            {1_099, 100, 101},
            {1_250, 250, 250},
            {-30, 100, 130},
            {-70, 100, 70}
        };
    }

    /** Guards against tasks that each wake the loop, and against a run right after one that was late. */
    @Test(dataProvider = "moments")
    public void alignedRunsAreDueAtMultiplesOfTheirInterval(long nowMs, long intervalMs, long expectedMs) {
        long nowNs = TimeUnit.MILLISECONDS.toNanos(nowMs);
        assertEquals(PeriodicTask.untilMultipleMs(nowNs, intervalMs), expectedMs);
        assertEquals(Math.floorMod(nowMs + expectedMs, intervalMs), 0);
    }

    @Test
    public void alignedTaskRepeats() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(RUNS);
        PeriodicTask.startAligned(loop, "aligned", 2, runs::countDown);
        assertTrue(runs.await(20, TimeUnit.SECONDS), "runs missing: " + runs.getCount());
    }

    @Test
    public void aRunThatFailsDoesNotEndTheTask() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(RUNS);
        PeriodicTask.start(loop, "failing", () -> 1, () -> {
            runs.countDown();
            throw new IllegalArgumentException("a run's fault");
        });
        assertTrue(runs.await(20, TimeUnit.SECONDS), "runs missing: " + runs.getCount());
    }
}
