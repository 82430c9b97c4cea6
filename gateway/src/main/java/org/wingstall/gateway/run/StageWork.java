package org.wingstall.gateway.run;

import com.fasterxml.jackson.databind.JsonNode;
import org.wingstall.core.route.PromptBlocks;
import org.wingstall.schema.endpoint.StageCall;
import org.wingstall.schema.table.StageRow;

/** What a stage of one request has an endpoint do. */
final class StageWork {
    private static final long[] NO_DIGESTS = {};

    private final RequestContext context;
    private final StageRow stage;
    private final JsonNode input;
    private final long[] prefixDigests;

    StageWork(RequestContext context, StageRow stage, JsonNode input) {
        this.context = context;
        this.stage = stage;
        this.input = input;
        this.prefixDigests = isEngine() ? PromptBlocks.digests(promptOf(input)) : NO_DIGESTS;
    }

    private static String promptOf(JsonNode input) {
        JsonNode prompt = input.path("text");
        return prompt.isTextual() ? prompt.asText() : input.toString();
    }

    boolean isEngine() {
        return stage.getKind() == StageRow.Kind.ENGINE;
    }

    /** Returns digests of the prompt's beginnings; none unless an engine reads it. */
    long[] prefixDigests() {
        return prefixDigests;
    }

    /**
     * Returns the message of a call.
     *
     * @param attempt number of the call, from 1
     * @param remainingMs time left, in ms
     * @param tokens tokens that have come already
     */
    StageCall call(int attempt, long remainingMs, int tokens) {
        return new StageCall(
                context.requestId(),
                stage.getName(),
                attempt,
                context.workspace().getName(),
                context.idempotencyKey(),
                context.pipeline().getPrecedence(),
                remainingMs,
                stage.getMaxTokens(),
                tokens,
                input);
    }
}
