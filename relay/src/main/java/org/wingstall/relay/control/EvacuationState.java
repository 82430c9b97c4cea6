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
 * The evacuations in force; read on any thread, and never replaced by what was known of an earlier version of the store.
 *
 * <p>A box learns of them from the store, and from heartbeats where the store does not answer it, so whichever knows a later
 * version counts. {@code evacuations.offer(read, "store");}
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
     * @param listener takes the evacuated failure domains whenever they differ
     */
    public EvacuationState(Consumer<Set<String>> listener) {
        this.listener = listener;
    }

    /** Returns the evacuations in force. */
    public Evacuations current() {
        return current.get();
    }

    /**
     * Takes evacuations into force if they are known as of a later version.
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
