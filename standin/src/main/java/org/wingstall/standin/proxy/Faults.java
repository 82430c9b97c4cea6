package org.wingstall.standin.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;

/**
 * Faults of a route.
 *
 * @param cut connections are refused and open ones closed
 * @param freeze nothing is passed on
 * @param delayMs added to everything that is passed on, in ms
 * @param dropAnswers requests are passed on; at the answer's first byte the connection breaks
 * @param resetAfterBytes the connection breaks after this many bytes of answers; 0 for never
 * @param cutFrom IP addresses whose connections are refused and closed
 */
public record Faults(
        boolean cut, boolean freeze, long delayMs, boolean dropAnswers, long resetAfterBytes, Set<String> cutFrom) {
    static final Faults NONE = new Faults(false, false, 0, false, 0, Set.of());

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
                cutFrom);
    }
}
