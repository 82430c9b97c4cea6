package org.wingstall.relay.control;

import java.util.concurrent.CompletionException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.wire.SourceException;

/** Whether a source answers; writes a line when it is lost or regained. Written on the control loop, read on any thread. */
final class SourceHealth {
    private static final Logger LOG = LogManager.getLogger(SourceHealth.class);

    private final String source;
    private volatile boolean answers = true;

    SourceHealth(String source) {
        this.source = source;
    }

    boolean answers() {
        return answers;
    }

    /** Takes note of the end of a read; the failure is null for one that was answered. */
    void ended(Throwable failure) {
        boolean before = answers;
        answers = failure == null;
        if (before && !answers) {
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            String kind = cause instanceof SourceException known ? known.kind().name() : "unknown";
            LogEvent.warn("source-lost")
                    .with("source", source)
                    .with("kind", kind)
                    .cause(cause)
                    .to(LOG);
        } else if (!before && answers) {
            LogEvent.info("source-regained").with("source", source).to(LOG);
        }
    }
}
