package org.wingstall.core.route;

/**
 * An endpoint that may receive a call, with its current limits.
 *
 * <p>{@code new Candidate(endpoint, 4, 16, 1.0)}
 *
 * @param endpoint the endpoint
 * @param window maximum number of concurrent calls from this gateway
 * @param slots number of calls, from all gateways, that the endpoint processes concurrently
 * @param speed relative speed of its box class
 * @since 0.1
 */
public record Candidate(EndpointState endpoint, int window, int slots, double speed) {}
