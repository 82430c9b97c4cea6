package org.wingstall.core.peer;

/**
 * Spaces heartbeats so that their bytes, both ways, stay within a budget: plain ones are stretched a little, and what only
 * efficiency needs (demand, other failure domains) goes along with every so many of them.
 *
 * <p>{@code HeartbeatPacer.Plan plan = new HeartbeatPacer(1000, 2400).plan(23, 21, 250);}
 *
 * @since 0.1
 */
public final class HeartbeatPacer {
    /** Bytes of IP and TCP headers for a segment and its acknowledgement. */
    private static final int HEADER_BYTES = 2 * 52;

    private static final double PLAIN_BUDGET_SHARE = 0.8;

    private final long minIntervalMs;
    private final double budgetBytesPerSecond;

    /**
     * When to send what.
     *
     * @param intervalMs time between heartbeats, in ms
     * @param fullEvery how many heartbeats there are to each full one
     */
    public record Plan(long intervalMs, int fullEvery) {
        /** Returns the time between two full heartbeats, in ms. */
        public long fullIntervalMs() {
            return intervalMs * fullEvery;
        }
    }

    /**
     * Creates a pacer.
     *
     * @param shortestMs shortest interval, in ms
     * @param budgetBytesPerSecond bytes a second that heartbeats may cost, both ways
     */
    public HeartbeatPacer(long shortestMs, double budgetBytesPerSecond) {
        this.minIntervalMs = shortestMs;
        this.budgetBytesPerSecond = budgetBytesPerSecond;
    }

    /**
     * Plans the heartbeats.
     *
     * @param peers links that heartbeats go over
     * @param plainBytes size of a plain heartbeat's frame, in bytes
     * @param fullBytes size of a full heartbeat's frame, in bytes
     * @return when to send what
     */
    public Plan plan(int peers, int plainBytes, int fullBytes) {
        double plainBytesPerRound = 2.0 * peers * (plainBytes + HEADER_BYTES);
        double extraBytesPerRound = 2.0 * peers * Math.max(0, fullBytes - plainBytes);
        long neededIntervalMs =
                (long) Math.ceil(plainBytesPerRound / (PLAIN_BUDGET_SHARE * budgetBytesPerSecond) * 1000);
        long intervalMs = Math.max(minIntervalMs, neededIntervalMs);
        double spareBytes = budgetBytesPerSecond * intervalMs / 1000 - plainBytesPerRound;
        int fullEvery = (int) Math.max(1, Math.ceil(extraBytesPerRound / Math.max(1, spareBytes)));
        return new Plan(intervalMs, fullEvery);
    }
}
