package org.wingstall.relay.control;

import java.util.concurrent.CompletionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.wire.SourceException;

/** Whether a source answers; writes a line when it is lost or regained. Written on the control loop, read on any thread. */
final class SourceHealth {
    private static final Logger LOG = LogManager.getLogger(SourceHealth.class);

    /** Pause before a read that failed first is repeated, in ms; a few reads fit into the time a change may take. */
    private static final long BASE_RETRY_DELAY_MS = 250;

    /** Doublings of that pause, up to 1 s: a fleet that asks a store that is down more often only adds to its load. */
    private static final int MAX_DOUBLINGS = 2;

    private final String source;
    private volatile boolean available = true;
    private int consecutiveFailures;

    SourceHealth(String source) {
        this.source = source;
    }

    boolean available() {
        return available;
    }

    /**
     * Returns the pause before the next read after one that failed.
     *
     * @param known whether something was read before; a box that knows nothing asks again soon
     */
    long retryDelayMs(boolean known) {
        int doublings = known ? Math.min(MAX_DOUBLINGS, Math.max(0, consecutiveFailures - 1)) : 0;
        return BASE_RETRY_DELAY_MS << doublings;
    }

    /** Records the end of a read; the failure is null for one that was answered. */
    void recordResult(Throwable failure) {
        boolean before = available;
        available = failure == null;
        consecutiveFailures = available ? 0 : consecutiveFailures + 1;
        if (before && !available) {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            String kind = cause instanceof SourceException known ? known.kind().name() : "unknown";
            LogEvent.warn("source-lost")
                    .with("source", source)
                    .with("kind", kind)
                    .cause(cause)
                    .to(LOG);
        } else if (!before && available) {
            LogEvent.info("source-regained").with("source", source).to(LOG);
        }
    }
}
