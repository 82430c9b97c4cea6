package org.wingstall.core.peer;

/**
 * Says at which turns a box sends heartbeats. A box that does work for others sends at each turn, since they have to know soon
 * when it is gone; of any other box the hubs of a large fleet need few signs of life, and they hear hundreds of them.
 *
 * <p>{@code if (turns.due(worksForOthers)) { sendHeartbeats(); }}
 *
 * @since 0.8
 */
public final class HeartbeatThrottle {
    /** Turns from one heartbeat to the next of a box that does no work for others. */
    public static final int NON_HUB_INTERVAL_TICKS = 5;

    private int ticksSinceLast;

    /**
     * Records a turn.
     *
     * @param worksForOthers whether others have work done by this box
     * @return whether heartbeats are sent at this turn
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
