package org.wingstall.relay.config;

/**
 * Capacity and abilities of one model engine of a service.
 *
 * <p>{@code double ms = spec.fetchMs(6300);}
 *
 * @param canFetch whether it can fetch parts of a prompt that another engine has cached
 * @param bytesPerToken size of one token in its prefix cache
 * @param linkBytesPerMs rate at which it fetches, in bytes per ms
 * @param cacheCapacityTokens tokens that its prefix cache holds
 * @since 0.5
 */
public record EngineSpec(boolean canFetch, long bytesPerToken, double linkBytesPerMs, long cacheCapacityTokens) {
    /** Returns the time to fetch the given number of tokens, in ms. */
    public double fetchMs(int tokens) {
        return linkBytesPerMs <= 0 ? Double.MAX_VALUE : tokens * (double) bytesPerToken / linkBytesPerMs;
    }
}
