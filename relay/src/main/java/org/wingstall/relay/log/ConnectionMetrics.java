package org.wingstall.relay.log;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.SheddingGate;
import org.wingstall.net.SheddingGate.Cause;
import org.wingstall.net.log.LogEvent;

/** Counts the connections of callers that are let in or closed unread, and logs when that begins and ends. */
final class ConnectionMetrics implements SheddingGate.Observer {
    private static final Logger LOG = LogManager.getLogger(ConnectionMetrics.class);

    private static final String CLOSED_UNREAD = "wingstall.caller.connections.closed.unread";

    private final MeterRegistry registry;
    private final Counter admitted;
    private final Timer waits;

    ConnectionMetrics(MeterRegistry registry) {
        this.registry = registry;
        this.admitted = registry.counter("wingstall.caller.connections.admitted");
        this.waits = Timer.builder("wingstall.caller.connections.wait")
                .publishPercentileHistogram()
                .register(registry);
    }

    @Override
    public void admitted(long waitedMs) {
        admitted.increment();
        if (waitedMs > 0) {
            waits.record(waitedMs, TimeUnit.MILLISECONDS);
        }
    }

    private Counter closed(Cause cause) {
        return registry.counter(CLOSED_UNREAD, "cause", cause.code());
    }

    @Override
    public void closedUnread(Cause cause) {
        closed(cause).increment();
    }

    @Override
    public void overloadChanged(boolean overloaded) {
        LogEvent.warn(overloaded ? "new-connections-closed-unread" : "new-connections-read-again")
                .with("admitted", (long) admitted.count())
                .with("queueFull", (long) closed(Cause.QUEUE_FULL).count())
                .with("waitedTooLong", (long) closed(Cause.WAITED_TOO_LONG).count())
                .to(LOG);
    }
}
