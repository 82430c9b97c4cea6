package org.wingstall.relay.config;

/**
 * Reduced capacity of an endpoint of a service after its start.
 *
 * <p>{@code new ColdStartSpec(3000, 9.1)}
 *
 * @param durationMs time for which an endpoint is cold after its start, in ms
 * @param requestsPerSecond requests a second that it takes during that time, from all boxes together
 * @since 0.8
 */
public record ColdStartSpec(long durationMs, double requestsPerSecond) {}
