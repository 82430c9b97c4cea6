package org.wingstall.relay.control;

import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.config.Evacuations;

/**
 * Holds the evacuations in force, and replaces them only by those of a later store version. Read on any thread.
 *
 * <p>A box gets them from the store, and from heartbeats of peers while the store does not answer it; the later version
 * wins.
 * {@code evacuations.updateIfNewer(read, "store");}
 *
 * @since 0.8
 */
public final class EvacuationState {
    private static final Logger LOG = LogManager.getLogger(EvacuationState.class);

    private final AtomicReference<Evacuations> current = new AtomicReference<>(Evacuations.UNKNOWN);
    private final Consumer<Set<String>> listener;

    /**
     * Creates a state without evacuations.
     *
     * @param listener receives the evacuated failure domains when they change
     */
    public EvacuationState(Consumer<Set<String>> listener) {
        this.listener = listener;
    }

    /** Returns the evacuations in force. */
    public Evacuations current() {
        return current.get();
    }

    /**
     * Puts evacuations in force if they are of a later store version.
     *
     * @param offered the evacuations
     * @param from where they came from, for the log
     */
    public synchronized void updateIfNewer(Evacuations offered, String from) {
        Evacuations before = current.get();
        if (offered.asOfVersion() <= before.asOfVersion()) {
            return;
        }
        current.set(offered);
        if (!offered.failureDomains().equals(before.failureDomains())) {
            LogEvent.info("evacuations-changed")
                    .with("evacuated", new TreeSet<>(offered.failureDomains()))
                    .with("before", new TreeSet<>(before.failureDomains()))
                    .with("version", offered.asOfVersion())
                    .with("from", from)
                    .to(LOG);
            listener.accept(offered.failureDomains());
        }
    }
}
