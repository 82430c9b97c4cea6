package org.wingstall.net.http;

/**
 * Bounds on the answers that a client collects; an endpoint in trouble may send bytes without end.
 *
 * <p>{@code new HttpClient(connector, new AnswerLimits(4 << 20, 32 << 20))}
 *
 * @param maxBodyBytes largest body of an answer that is collected whole, in bytes
 * @param maxHeldBytes most bytes of all bodies that are being collected, in bytes
 * @since 0.18
 */
public record AnswerLimits(long maxBodyBytes, long maxHeldBytes) {
    /** Larger than the largest object and the longest list of the platform's store. */
    public static final AnswerLimits DEFAULT = new AnswerLimits(16 << 20, 64 << 20);
}
