package org.wingstall.it.harness;

import com.fasterxml.jackson.databind.JsonNode;
import org.wingstall.standin.endpoint.Outputs;

/** The table that the tests run with, and what its pipelines must answer. */
public final class Rows {
    public static final int TOKENS = 12;
    public static final String ROWS =
            """
            pipeline:
              - name: plan
                deadlineMs: 8000
                precedence: 6
                stages:
                  - {name: retrieve, service: far, kind: pool, expectedMs: 20}
                  - {name: generate, service: briza, kind: engine, maxTokens: 12, expectedMs: 100}
              - name: order
                deadlineMs: 3000
                stages:
                  - {name: check, service: far, kind: pool, expectedMs: 20}
                  - {name: charge, service: ledger, kind: plain, repeatable: false, expectedMs: 20}
            workspace:
              - {name: crew, weight: 1}
              - {name: guests, weight: 1, requestsPerSecond: 20}
            box-class:
              - {name: plain, maxInFlight: 48}
            """;

    private Rows() {}

    /** Returns the text that the plan pipeline must answer to an input. */
    public static String plan(String text) {
        return Outputs.generated(
                Outputs.pool("far", TestFleet.body("crew", text).path("input")), TOKENS);
    }

    /** Returns the text that the order pipeline must answer to an input. */
    public static String order(String text) {
        return "ledger(far(" + text + "))";
    }

    public static String outcome(Http.Reply reply) {
        return reply.json().path("outcome").asText();
    }

    public static String output(JsonNode answer) {
        return answer.path("output").path("text").asText();
    }
}
