package org.wingstall.standin.proxy;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults of a route.
 *
 * @param cut connections are refused and open ones closed
 * @param freeze nothing is passed on
 * @param delayMs added to everything that is passed on, in ms
 * @param dropAnswers requests are passed on; at the answer's first byte the connection breaks
 * @param resetAfterBytes the connection breaks after this many bytes of answers; 0 for never
 */
public record Faults(boolean cut, boolean freeze, long delayMs, boolean dropAnswers, long resetAfterBytes) {
    static final Faults NONE = new Faults(false, false, 0, false, 0);

    static Faults read(JsonNode tree) {
        return new Faults(
                tree.path("cut").asBoolean(),
                tree.path("freeze").asBoolean(),
                tree.path("delayMs").asLong(),
                tree.path("dropAnswers").asBoolean(),
                tree.path("resetAfterBytes").asLong());
    }
}
