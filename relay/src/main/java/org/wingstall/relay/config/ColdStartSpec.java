package org.wingstall.relay.config;

/**
 * Capacity of an endpoint of a service while it is cold.
 *
 * <p>{@code new ColdStartSpec(3000, 9.1)}
 *
 * @param startMs time for which an endpoint is cold after its start, in ms
 * @param perSecond requests a second that it takes meanwhile, from all boxes together
 * @since 0.8
 */
public record ColdStartSpec(long durationMs, double requestsPerSecond) {}
