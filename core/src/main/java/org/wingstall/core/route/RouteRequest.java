package org.wingstall.core.route;

/**
 * Describes a call to be routed.
 *
 * <p>{@code new RouteRequest("kgn-a", 120, digests)}
 *
 * @param failureDomain failure domain of the gateway
 * @param expectedMs expected duration of the stage at any endpoint, in ms
 * @param prefixDigests digests of the prompt's blocks; empty without a prompt
 * @since 0.1
 */
public record RouteRequest(String failureDomain, double expectedMs, long[] prefixDigests) {}
