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
    /** Returns the time of a call with the given number of pieces, in ms. */
    public double callMs(int pieces) {
        return baseMs + pieces * pieceMs;
    }
}
