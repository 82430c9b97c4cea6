package org.wingstall.relay.config;

/**
 * Limits on the size and duration of requests of clients.
 *
 * <p>{@code new ClientLimits(16_384, 4_194_304, 3000, 15_000)}
 *
 * @param maxHeaderBytes largest request head
 * @param maxBodyBytes largest body
 * @param headerTimeoutMs longest time for a request to arrive, in ms
 * @param idleTimeoutMs longest time between two requests of a connection, in ms
 * @since 0.2
 */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** Limits until a configuration is known; of the same order as those in use. */
    public static final ClientLimits DEFAULTS = new ClientLimits(16_384, 4_194_304, 3000, 15_000);
}
