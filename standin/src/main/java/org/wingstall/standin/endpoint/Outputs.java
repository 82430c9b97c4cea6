package org.wingstall.standin.endpoint;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.wingstall.schema.check.Json;

/**
 * What stand-in endpoints answer: a function of their input alone, so that tests know what each request must get.
 *
 * <p>{@code Outputs.pool("far", input)}
 *
 * @since 0.1
 */
public final class Outputs {
    private Outputs() {}

    /** Returns the text of an input. */
    public static String text(JsonNode input) {
        JsonNode text = input.path("text");
        return text.isTextual() ? text.asText() : input.toString();
    }

    /** Returns the output of a pool. */
    public static JsonNode pool(String service, JsonNode input) {
        return Json.MAPPER.createObjectNode().put("text", service + "(" + text(input) + ")");
    }

    /** Returns the output of a plain service, with a receipt that no other run has. */
    public static JsonNode plain(String service, JsonNode input, String receipt) {
        ObjectNode output = Json.MAPPER.createObjectNode();
        return output.put("text", service + "(" + text(input) + ")").put("receipt", receipt);
    }

    /** Returns a token of an engine's answer. */
    public static String token(JsonNode input, int index) {
        long digest = Hashing.komihash5_0()
                .hashStream()
                .putString(text(input))
                .putInt(index)
                .getAsLong();
        return Long.toHexString(digest).substring(0, 4) + " ";
    }

    /** Returns the whole text of an engine's answer. */
    public static String generated(JsonNode input, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(input, i));
        }
        return text.toString();
    }
}
