package org.wingstall.standin.endpoint;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Faults that an endpoint shows at the moment.
 *
 * @param slowFactor by which its work takes longer
 * @param hang calls are taken and never answered
 * @param refuse calls are refused with the statement that they did not run
 * @param refuseFirst number of calls refused in this way after the faults are set
 * @param fail calls run and fail
 * @param wrongId answers and tokens are those of another request, with its identifier
 * @param twice tokens come twice
 * @param dieAfterTokens streams break after this many tokens; 0 for never
 * @param endsOn the process ends when it begins to run a call with this text in its input; empty for never
 * @param leaving answers say that the endpoint is leaving
 */
public record EndpointFaults(
        double slowFactor,
        boolean hang,
        boolean refuse,
        int refuseFirst,
        boolean fail,
        boolean wrongId,
        boolean twice,
        int dieAfterTokens,
        String endsOn,
        boolean leaving) {
    static final EndpointFaults NONE = new EndpointFaults(1, false, false, 0, false, false, false, 0, "", false);

    static EndpointFaults read(JsonNode tree) {
        return new EndpointFaults(
                tree.path("slowFactor").asDouble(1),
                tree.path("hang").asBoolean(),
                tree.path("refuse").asBoolean(),
                tree.path("refuseFirst").asInt(),
                tree.path("fail").asBoolean(),
                tree.path("wrongId").asBoolean(),
                tree.path("twice").asBoolean(),
                tree.path("dieAfterTokens").asInt(),
                tree.path("endsOn").asText(""),
                tree.path("leaving").asBoolean());
    }
}
