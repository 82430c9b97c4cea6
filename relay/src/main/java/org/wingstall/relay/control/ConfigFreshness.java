package org.wingstall.relay.control;

import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;

/**
 * Tracks when this box last knew that no newer configuration than its own exists, and by whom; logs when that is longer
 * ago than the bound. Read on any thread.
 *
 * <p>{@code freshness.confirmedByStore(clock.nowMs()); ... freshness.ageMs();}
 *
 * @since 0.20
 */
public final class ConfigFreshness {
    private static final Logger LOG = LogManager.getLogger(ConfigFreshness.class);

    private final MonotonicClock clock;
    private final long boundMs;
    private final AtomicReference<Confirmation> newest;
    private volatile long storeAsOfMs = Long.MIN_VALUE;
    private boolean overdue;

    private record Confirmation(long asOfMs, String by) {}

    /**
     * Creates a tracker whose age counts from now.
     *
     * @param clock monotonic clock
     * @param boundMs age from which the configuration counts as unconfirmed, in ms
     */
    public ConfigFreshness(MonotonicClock clock, long boundMs) {
        this.clock = clock;
        this.boundMs = boundMs;
        this.newest = new AtomicReference<>(new Confirmation(clock.nowMs(), "nobody"));
    }

    /**
     * Records that the store had no newer configuration.
     *
     * @param asOfMs the latest time for which that is known, by the clock, in ms
     */
    public void confirmedByStore(long asOfMs) {
        storeAsOfMs = Math.max(storeAsOfMs, asOfMs);
        confirm(asOfMs, "store");
    }

    /**
     * Records that the store had told a peer that no newer configuration exists.
     *
     * @param peerAgeMs time since then, in ms
     */
    public void confirmedByPeer(long peerAgeMs) {
        confirm(clock.nowMs() - peerAgeMs, "peer");
    }

    private void confirm(long asOfMs, String by) {
        newest.updateAndGet(known -> asOfMs > known.asOfMs() ? new Confirmation(asOfMs, by) : known);
    }

    /** Returns the time since the configuration was confirmed, or since the start, in ms. */
    public long ageMs() {
        return clock.nowMs() - newest.get().asOfMs();
    }

    /** Returns the time since the store itself confirmed it to this box, in ms, at least 1; 0 if it never did. */
    public long storeAgeMs() {
        long asOfMs = storeAsOfMs;
        return asOfMs == Long.MIN_VALUE ? 0 : Math.max(1, clock.nowMs() - asOfMs);
    }

    /** Logs when the age has passed its bound or is back below it; on one thread only. */
    void logChange() {
        Confirmation last = newest.get();
        long ageMs = clock.nowMs() - last.asOfMs();
        if (ageMs > boundMs && !overdue) {
            overdue = true;
            LogEvent.warn("config-unconfirmed")
                    .with("ageMs", ageMs)
                    .with("boundMs", boundMs)
                    .with("confirmedBy", last.by())
                    .to(LOG);
        } else if (ageMs <= boundMs && overdue) {
            overdue = false;
            LogEvent.info("config-confirmed")
                    .with("ageMs", ageMs)
                    .with("confirmedBy", last.by())
                    .to(LOG);
        }
    }
}
