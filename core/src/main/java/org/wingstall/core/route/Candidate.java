package org.wingstall.core.route;

/**
 * An endpoint that may take a call, with the limits that hold for it now.
 *
 * <p>{@code new Candidate(endpoint, 4, 16, 1.0)}
 *
 * @param endpoint the endpoint
 * @param window most calls of this gateway at once
 * @param slots calls that the endpoint works on at once, from all gateways
 * @param speed speed of its box class relative to others
 * @since 0.1
 */
public record Candidate(EndpointState endpoint, int window, int slots, double speed) {}
