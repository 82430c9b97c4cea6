package org.wingstall.standin.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;

/**
 * Faults of a route.
 *
 * <p>{@code route.set(Faults.NONE.withDelayMs(200))}
 *
 * @param cut connections are refused and open ones closed
 * @param freeze nothing is passed on
 * @param delayMs added to everything that is passed on, in ms
 * @param dropAnswers requests are passed on; at the answer's first byte the connection breaks
 * @param resetAfterBytes the connection breaks after this many bytes of answers; 0 for never
 * @param cutFrom IP addresses whose connections are refused and closed
 * @param freezeAnswers requests are passed on, answers are not
 * @param silentOpen connections that are open when this is set pass nothing on until they are closed; new ones work
 * @since 0.1
 */
public record Faults(
        boolean cut,
        boolean freeze,
        long delayMs,
        boolean dropAnswers,
        long resetAfterBytes,
        Set<String> cutFrom,
        boolean freezeAnswers,
        boolean silentOpen) {
    /** No fault at all. */
    public static final Faults NONE = new Faults(false, false, 0, false, 0, Set.of(), false, false);

    /** Returns these faults with connections refused and closed. */
    public Faults withCut() {
        return new Faults(true, freeze, delayMs, dropAnswers, resetAfterBytes, cutFrom, freezeAnswers, silentOpen);
    }

    /** Returns these faults with nothing passed on. */
    public Faults withFreeze() {
        return new Faults(cut, true, delayMs, dropAnswers, resetAfterBytes, cutFrom, freezeAnswers, silentOpen);
    }

    /** Returns these faults with answers held up. */
    public Faults withFreezeAnswers() {
        return new Faults(cut, freeze, delayMs, dropAnswers, resetAfterBytes, cutFrom, true, silentOpen);
    }

    /** Returns these faults with everything passed on later. */
    public Faults withDelayMs(long ms) {
        return new Faults(cut, freeze, ms, dropAnswers, resetAfterBytes, cutFrom, freezeAnswers, silentOpen);
    }

    /** Returns these faults with connections broken at the first byte of an answer. */
    public Faults withDropAnswers() {
        return new Faults(cut, freeze, delayMs, true, resetAfterBytes, cutFrom, freezeAnswers, silentOpen);
    }

    /** Returns these faults with nothing passed on any more by connections that are open when they are set. */
    public Faults withSilentOpen() {
        return new Faults(cut, freeze, delayMs, dropAnswers, resetAfterBytes, cutFrom, freezeAnswers, true);
    }

    boolean cuts(String clientIp) {
        return cut || cutFrom.contains(clientIp);
    }

    static Faults read(JsonNode tree) {
        Set<String> cutFrom = new HashSet<>();
        tree.path("cutFrom").forEach(ip -> cutFrom.add(ip.asText()));
        return new Faults(
                tree.path("cut").asBoolean(),
                tree.path("freeze").asBoolean(),
                tree.path("delayMs").asLong(),
                tree.path("dropAnswers").asBoolean(),
                tree.path("resetAfterBytes").asLong(),
                cutFrom,
                tree.path("freezeAnswers").asBoolean(),
                tree.path("silentOpen").asBoolean());
    }
}
