package org.wingstall.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.TreeMap;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;

/**
 * A line of a gateway's log.
 *
 * @param prefix what stands before the document, such as the box's name
 * @param time when it was written, by the box's clock
 * @param event what it tells of
 * @param fields the event's inputs, by name
 */
record LogLine(String prefix, Instant time, String event, TreeMap<String, String> fields) {
    /** Returns the line that a text is; empty for text that is no line of a gateway's log. */
    static Optional<LogLine> parse(String text) {
        int begin = text.indexOf('{');
        if (begin < 0) {
            return Optional.empty();
        }
        try {
            JsonNode document = Json.readTree(text.substring(begin).getBytes(StandardCharsets.UTF_8));
            JsonNode message = document.path("message");
            TreeMap<String, String> fields = new TreeMap<>();
            message.fields()
                    .forEachRemaining(
                            field -> fields.put(field.getKey(), field.getValue().asText()));
            String event = fields.remove("event");
            if (event == null) {
                return Optional.empty();
            }
            Instant time = Instant.parse(document.path("time").asText());
            return Optional.of(new LogLine(text.substring(0, begin).strip(), time, event, fields));
        } catch (InvalidDocumentException | DateTimeParseException e) {
            return Optional.empty();
        }
    }

    boolean isAbout(String requestId) {
        return requestId.equals(fields.get("requestId"));
    }
}
