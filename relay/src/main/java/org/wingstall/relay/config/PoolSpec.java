package org.wingstall.relay.config;

/**
 * What one endpoint of a stage's service can do.
 *
 * <p>{@code long fullCallMs = pool.callMs(pool.batch());}
 *
 * @param slots calls at work at once
 * @param queue calls that may wait at the endpoint
 * @param batch most pieces in a call
 * @param baseMs time of a call without its pieces, in ms
 * @param pieceMs time of one piece, in ms; varies by stage
 * @param roomBytes room for results that no one has given up yet
 * @param resultLifeMs time after which a result is dropped, in ms
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
    /** Returns the time of a call with so many pieces, in ms. */
    public double callMs(int pieces) {
        return baseMs + pieces * pieceMs;
    }
}
