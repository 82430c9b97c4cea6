package org.wingstall.relay.config;

/**
 * Bounds on what a client may send and how long it may take.
 *
 * <p>{@code new ClientLimits(16_384, 4_194_304, 3000, 15_000)}
 *
 * @param headerBytes largest head of a request
 * @param bodyBytes largest body
 * @param headerMs longest time for a request to arrive, in ms
 * @param idleMs longest time between two requests of a connection, in ms
 * @since 0.2
 */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** Bounds until a configuration is known; of the order of those in use. */
    public static final ClientLimits DEFAULTS = new ClientLimits(16_384, 4_194_304, 3000, 15_000);
}
