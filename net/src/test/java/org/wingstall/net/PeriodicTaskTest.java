package org.wingstall.net;

import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

public class PeriodicTaskTest {
    private static final int RUNS = 5;

    private final EventLoop loop = EventLoops.group("test", 1).next();

    @AfterClass(alwaysRun = true)
    public void stopLoop() {
        loop.shutdownGracefully();
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
