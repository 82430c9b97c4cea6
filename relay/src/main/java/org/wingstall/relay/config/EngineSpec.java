package org.wingstall.relay.config;

/**
 * What one model engine of a service can do.
 *
 * <p>{@code double ms = spec.fetchMs(6300);}
 *
 * @param fetches whether it can fetch parts of a prompt that another engine keeps
 * @param tokenBytes size of one token in its memory
 * @param linkBytesPerMs speed at which it fetches
 * @param memoryTokens tokens that its memory holds
 * @since 0.5
 */
public record EngineSpec(boolean canFetch, long bytesPerToken, double linkBytesPerMs, long cacheCapacityTokens) {
    /** Returns the time to fetch so many tokens, in ms. */
    public double fetchMs(int tokens) {
        return linkBytesPerMs <= 0 ? Double.MAX_VALUE : tokens * (double) bytesPerToken / linkBytesPerMs;
    }
}
