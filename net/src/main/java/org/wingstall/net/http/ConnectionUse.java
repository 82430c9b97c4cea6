package org.wingstall.net.http;

/**
 * Which connection a request uses, and who may use it afterwards.
 *
 * <p>{@code ConnectionUse.KEPT.idleAtMost(3000)}
 *
 * @param maxIdleMs a kept connection that has been idle for longer is not used, in ms; 0 opens a new one, so that a kept one
 *     closed meanwhile can't leave open whether the request arrived
 * @param kept whether other requests may use the connection after the answer
 * @param group requests share connections with those of the same group only
 * @since 0.18
 */
public record ConnectionUse(long maxIdleMs, boolean kept, String group) {
    /** However long a connection has been idle. */
    static final long ANY_IDLE_MS = Long.MAX_VALUE;

    /** Any kept connection, or a new one; kept after the answer. */
    public static final ConnectionUse KEPT = new ConnectionUse(ANY_IDLE_MS, true, "");

    /** A new connection, which is kept after the answer. */
    public static final ConnectionUse NEW = KEPT.idleAtMost(0);

    /**
     * A connection that no other request uses, before or after. So nothing else that the other side sends, now or late, can
     * be taken for the answer, although the answer does not name its request.
     */
    public static final ConnectionUse OWN = new ConnectionUse(0, false, "");

    /** Returns the same use with another bound on the idle time, in ms. */
    public ConnectionUse idleAtMost(long idleMs) {
        return new ConnectionUse(idleMs, kept, group);
    }

    /** Returns the same use within a group of requests. */
    public ConnectionUse within(String sharingGroup) {
        return new ConnectionUse(maxIdleMs, kept, sharingGroup);
    }
}
