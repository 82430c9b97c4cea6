package org.wingstall.core.peer;

/**
 * Chooses heartbeat intervals so that the traffic, in both directions, stays within a byte budget. The interval of
 * plain heartbeats grows if needed; data that serves only efficiency (demand, other failure domains) is sent with every
 * n-th heartbeat, a full one.
 *
 * <p>{@code HeartbeatPacer.Plan plan = new HeartbeatPacer(1000, 2400).plan(23, 21, 250);}
 *
 * @since 0.1
 */
public final class HeartbeatPacer {
    /** IP and TCP headers of a segment and its acknowledgement, in bytes. */
    private static final int HEADER_BYTES = 2 * 52;

    private static final double PLAIN_BUDGET_SHARE = 0.8;

    private final long minIntervalMs;
    private final double budgetBytesPerSecond;

    /**
     * Intervals of plain and full heartbeats.
     *
     * @param intervalMs interval between heartbeats, in ms
     * @param fullEvery number of heartbeats per full heartbeat
     */
    public record Plan(long intervalMs, int fullEvery) {
        /** Returns the interval between full heartbeats, in ms. */
        public long fullIntervalMs() {
            return intervalMs * fullEvery;
        }
    }

    /**
     * Creates a pacer.
     *
     * @param minIntervalMs minimum interval, in ms
     * @param budgetBytesPerSecond budget for heartbeats in bytes per second, both directions together
     */
    public HeartbeatPacer(long minIntervalMs, double budgetBytesPerSecond) {
        this.minIntervalMs = minIntervalMs;
        this.budgetBytesPerSecond = budgetBytesPerSecond;
    }

    /**
     * Computes the heartbeat intervals.
     *
     * @param peers number of links that carry heartbeats
     * @param plainBytes size of a plain heartbeat's frame, in bytes
     * @param fullBytes size of a full heartbeat's frame, in bytes
     * @return intervals of plain and full heartbeats
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
