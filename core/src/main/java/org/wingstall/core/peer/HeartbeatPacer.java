package org.wingstall.core.peer;

/**
 * Stretches the time between heartbeats so that their bytes, both ways, stay within a budget.
 *
 * <p>{@code long intervalMs = new HeartbeatPacer(1000, 2400).intervalMs(20, 60);}
 *
 * @since 0.1
 */
public final class HeartbeatPacer {
    /** Bytes of IP and TCP headers for a segment and its acknowledgement. */
    private static final int HEADER_BYTES = 2 * 52;

    private final long shortestMs;
    private final double budgetBytesPerSecond;

    /**
     * Creates a pacer.
     *
     * @param shortestMs shortest interval, in ms
     * @param budgetBytesPerSecond bytes a second that heartbeats may cost, both ways
     */
    public HeartbeatPacer(long shortestMs, double budgetBytesPerSecond) {
        this.shortestMs = shortestMs;
        this.budgetBytesPerSecond = budgetBytesPerSecond;
    }

    /**
     * Returns the interval to keep.
     *
     * @param peers links that heartbeats go over
     * @param heartbeatBytes size of the last heartbeat's frame, in bytes
     * @return the interval, in ms
     */
    public long intervalMs(int peers, int heartbeatBytes) {
        double bytesPerRound = 2.0 * peers * (heartbeatBytes + HEADER_BYTES);
        long needed = (long) Math.ceil(bytesPerRound / budgetBytesPerSecond * 1000);
        return Math.max(shortestMs, needed);
    }
}
