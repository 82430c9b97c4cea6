package org.wingstall.core.peer;

/**
 * Decides at which ticks of the heartbeat timer a box sends heartbeats. A box that does work for others sends one at
 * every tick, since they must soon detect that it is gone. Any other box sends fewer, because the hubs of a large fleet
 * receive heartbeats from hundreds of boxes.
 *
 * <p>{@code if (throttle.isDue(worksForOthers)) { sendHeartbeats(); }}
 *
 * @since 0.8
 */
public final class HeartbeatThrottle {
    /** Ticks between two heartbeats of a box that does no work for others. */
    public static final int NON_HUB_INTERVAL_TICKS = 5;

    private int ticksSinceLast;

    /**
     * Records a tick and returns whether heartbeats are due.
     *
     * @param worksForOthers whether this box does work for others
     * @return whether to send heartbeats at this tick
     */
    public boolean isDue(boolean worksForOthers) {
        ticksSinceLast++;
        boolean due = worksForOthers || ticksSinceLast >= NON_HUB_INTERVAL_TICKS;
        if (due) {
            ticksSinceLast = 0;
        }
        return due;
    }
}
