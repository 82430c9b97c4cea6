package org.wingstall.relay.control;

import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.time.MonotonicClock;
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

    /** Time after a restore of the store within which operators write again what the copy lacks, in ms. */
    private static final long RESTORED_GRACE_MS = 5000;

    private final AtomicReference<Evacuations> current = new AtomicReference<>(Evacuations.UNKNOWN);
    private final MonotonicClock clock;
    private final Consumer<Set<String>> listener;
    private volatile Evacuations latest = Evacuations.UNKNOWN;
    private Set<String> beforeRestore = Set.of();
    private long restoredAtMs = Long.MIN_VALUE / 2;

    /**
     * Creates a state without evacuations.
     *
     * @param clock monotonic clock
     * @param listener receives the evacuated failure domains when they change
     */
    public EvacuationState(MonotonicClock clock, Consumer<Set<String>> listener) {
        this.clock = clock;
        this.listener = listener;
    }

    /** Returns the evacuations in force. */
    public Evacuations current() {
        return current.get();
    }

    /**
     * Returns the evacuations as read from the store, for peers: those that only this box still holds after a restore are
     * no word of the store.
     */
    Evacuations asRead() {
        return latest;
    }

    /**
     * Puts evacuations in force if they are of a later store version. Those that a restored store lacks hold on for a
     * while, since operators write them again.
     *
     * @param offered the evacuations
     * @param from where they came from, for the log
     */
    public synchronized void updateIfNewer(Evacuations offered, String from) {
        Evacuations before = current.get();
        if (offered.asOfVersion().isAfter(latest.asOfVersion())) {
            if (offered.asOfVersion().isRestoredSince(latest.asOfVersion())) {
                beforeRestore = before.failureDomains();
                restoredAtMs = clock.nowMs();
            }
            latest = offered;
        }
        // An offer that is not later ends the grace as well: a store that nobody writes to tells no later version.
        Evacuations next = clock.nowMs() - restoredAtMs < RESTORED_GRACE_MS ? latest.with(beforeRestore) : latest;
        current.set(next);
        if (!next.failureDomains().equals(before.failureDomains())) {
            LogEvent.info("evacuations-changed")
                    .with("evacuated", new TreeSet<>(next.failureDomains()))
                    .with("before", new TreeSet<>(before.failureDomains()))
                    .with("version", next.asOfVersion().number())
                    .with("era", next.asOfVersion().era())
                    .with("from", from)
                    .to(LOG);
            listener.accept(next.failureDomains());
        }
    }
}
