package org.wingstall.gateway.control;

import io.netty.channel.EventLoop;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.TimeUnit;

/**
 * Reads the processor time that the control loop has used.
 *
 * <p>{@code double seconds = new ControlCpu(loop).seconds();}
 *
 * @since 0.1
 */
public final class ControlCpu {
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private volatile long threadId = -1;

    /**
     * Creates a reader.
     *
     * @param loop the control loop
     */
    public ControlCpu(EventLoop loop) {
        loop.execute(() -> threadId = Thread.currentThread().getId());
    }

    /** Returns the processor time, in s. */
    public double seconds() {
        long ns = threadId < 0 ? 0 : threads.getThreadCpuTime(threadId);
        return (double) ns / TimeUnit.SECONDS.toNanos(1);
    }
}
