package org.wingstall.net.http;

/**
 * Bounds on what a server takes from its clients.
 *
 * <p>{@code new HttpLimits(1 << 20, 1000, 10_000, 120_000)}
 *
 * @param maxBodyBytes largest request body, in bytes
 * @param maxConnections most connections at once
 * @param requestReadMs longest time from a request's first byte to its last, in ms
 * @param idleMs longest time that a connection may be idle, in ms
 * @since 0.1
 */
public record HttpLimits(int maxBodyBytes, int maxConnections, long requestReadMs, long idleMs) {}
