package org.wingstall.soak;

/**
 * A fault or planned work, as long as it may have an effect.
 *
 * @param target a box, an endpoint, or {@link #STORE}
 * @param kind what was done
 * @param planned whether it was work that operators do, which excuses nothing
 * @param fromMs its begin, in ms of the soak's clock
 * @param untilMs its end, in ms of the soak's clock
 * @since 0.3
 */
record Disturbance(String target, String kind, boolean planned, long fromMs, long untilMs) {
    static final String STORE = "store";

    /** Returns whether open connections fell silent, which counts as a reset of the connections of all boxes. */
    boolean silencesBox() {
        return kind.equals(SilentConnections.STORE_WAY) || kind.equals(SilentConnections.ELSEWHERE);
    }

    boolean touches(String who, long beginMs, long endMs) {
        return target.equals(who) && fromMs <= endMs && untilMs >= beginMs;
    }
}
