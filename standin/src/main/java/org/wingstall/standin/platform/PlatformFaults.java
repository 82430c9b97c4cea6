package org.wingstall.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults that the platform shows at the moment.
 *
 * @param down every call is refused
 * @param silent no call is answered
 * @param delayMs added to every call, in ms
 * @param loseAnswerRate share of committed transactions whose answer is lost
 * @param lateRate share of transactions that land after their connection broke
 * @param lateMs how much later, in ms
 * @param stale reads show the rows as they were at the last snapshot
 */
record PlatformFaults(
        boolean down,
        boolean silent,
        long delayMs,
        double loseAnswerRate,
        double lateRate,
        long lateMs,
        boolean stale) {
    static final PlatformFaults NONE = new PlatformFaults(false, false, 0, 0, 0, 0, false);

    static PlatformFaults read(JsonNode tree) {
        return new PlatformFaults(
                tree.path("down").asBoolean(),
                tree.path("silent").asBoolean(),
                tree.path("delayMs").asLong(),
                tree.path("loseAnswerRate").asDouble(),
                tree.path("lateRate").asDouble(),
                tree.path("lateMs").asLong(),
                tree.path("stale").asBoolean());
    }
}
