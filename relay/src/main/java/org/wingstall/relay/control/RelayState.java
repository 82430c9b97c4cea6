package org.wingstall.relay.control;

import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.core.time.MonotonicClock;
import org.wingstall.net.log.LogEvent;
import org.wingstall.relay.config.RelayConfig;

/**
 * Holds the configuration in force, and never replaces it by an older version. Read on any thread.
 *
 * <p>{@code if (state.updateIfNewer(config, "store")) { changed(); }}
 *
 * @since 0.2
 */
public final class RelayState {
    private static final Logger LOG = LogManager.getLogger(RelayState.class);

    private final MonotonicClock clock;
    private final AtomicReference<InForce> inForce = new AtomicReference<>(new InForce(RelayConfig.NONE, 0));

    private record InForce(RelayConfig config, long sinceMs) {}

    /**
     * Creates a state without a configuration.
     *
     * @param clock monotonic clock
     */
    public RelayState(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns the configuration in force. */
    public RelayConfig config() {
        return inForce.get().config();
    }

    /** Returns the time for which this box has had the configuration in force, in ms; 0 before the first one. */
    public long configAgeMs() {
        InForce now = inForce.get();
        return now.config().known() ? clock.nowMs() - now.sinceMs() : 0;
    }

    /**
     * Puts a version in force if it is newer.
     *
     * @param offered the version
     * @param from where it came from, for the log
     * @return whether it was newer
     */
    public boolean updateIfNewer(RelayConfig offered, String from) {
        InForce next = new InForce(offered, clock.nowMs());
        RelayConfig before = inForce.getAndUpdate(
                        now -> offered.version() > now.config().version() ? next : now)
                .config();
        boolean newer = offered.version() > before.version();
        if (newer) {
            LogEvent.info("config-in-force")
                    .with("version", offered.version())
                    .with("before", before.version())
                    .with("from", from)
                    .to(LOG);
        } else if (offered.version() < before.version()) {
            LogEvent.warn("config-older")
                    .with("offered", offered.version())
                    .with("inForce", before.version())
                    .with("from", from)
                    .to(LOG);
        }
        return newer;
    }
}
