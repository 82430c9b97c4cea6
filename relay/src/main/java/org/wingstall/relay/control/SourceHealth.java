package org.wingstall.relay.control;

import java.util.concurrent.CompletionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.wire.SourceException;

/** Tracks whether a source answers, and logs when that changes. Updated on the control loop, read on any thread. */
final class SourceHealth {
    private static final Logger LOG = LogManager.getLogger(SourceHealth.class);

    /** Delay before the first retry, in ms; several retries fit into the time within which a change must arrive. */
    private static final long BASE_RETRY_DELAY_MS = 250;

    /**
     * Maximum doublings of that delay, to 1 s: a fleet that retries more often only adds to the load of the failing
     * store.
     */
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
     * Returns the delay before the next read after a failed one.
     *
     * @param known whether a read has succeeded before; until then retries stay frequent
     */
    long retryDelayMs(boolean known) {
        int doublings = known ? Math.min(MAX_DOUBLINGS, Math.max(0, consecutiveFailures - 1)) : 0;
        return BASE_RETRY_DELAY_MS << doublings;
    }

    /** Records the result of a read; the failure is null for a successful one. */
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
