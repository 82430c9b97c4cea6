package org.wingstall.relay.config;

/**
 * Capacity and call times of one endpoint of a service that runs stages.
 *
 * <p>{@code long fullCallMs = pool.callMs(pool.maxBatchSize());}
 *
 * @param slots calls that run at once
 * @param queueCapacity calls that may wait at the endpoint
 * @param maxBatchSize most pieces in a call
 * @param baseMs time of a call without its pieces, in ms
 * @param pieceMs time of one piece, in ms; varies by stage
 * @param resultCapacityBytes capacity for results that are not freed yet
 * @param resultTtlMs time after which a result expires, in ms
 * @since 0.2
 */
public record PoolSpec(
        int slots,
        int queueCapacity,
        int maxBatchSize,
        double baseMs,
        double pieceMs,
        double resultCapacityBytes,
        long resultTtlMs) {
    // Written out like hashCode: the generated methods of a record are made at its first use, which takes several ms.
    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof PoolSpec that
                        && slots == that.slots
                        && queueCapacity == that.queueCapacity
                        && maxBatchSize == that.maxBatchSize
                        && Double.compare(baseMs, that.baseMs) == 0
                        && Double.compare(pieceMs, that.pieceMs) == 0
                        && Double.compare(resultCapacityBytes, that.resultCapacityBytes) == 0
                        && resultTtlMs == that.resultTtlMs;
    }

    @Override
    public int hashCode() {
        int hash = 31 * Double.hashCode(baseMs) + Double.hashCode(pieceMs);
        return 31 * (31 * hash + slots) + maxBatchSize;
    }

    /** Returns the time of a call with the given number of pieces, in ms. */
    public double callMs(int pieces) {
        return baseMs + pieces * pieceMs;
    }
}
