package org.wingstall.gateway.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Map;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.StringMapMessage;

/** Writes an event as a line of JSON: time, level and logger, then the fields of its message. */
final class JsonLineLayout extends AbstractStringLayout {
    private static final JsonFactory JSON = new JsonFactory();

    JsonLineLayout() {
        super(StandardCharsets.UTF_8);
    }

    @Override
    public String toSerializable(LogEvent event) {
        StringWriter line = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(line)) {
            json.writeStartObject();
            json.writeStringField(
                    "time", Instant.ofEpochMilli(event.getTimeMillis()).toString());
            json.writeStringField("level", event.getLevel().name());
            json.writeStringField("logger", event.getLoggerName());
            writeMessage(json, event.getMessage());
            if (event.getThrown() != null) {
                json.writeStringField("trace", event.getThrown().toString());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return line.append('\n').toString();
    }

    private static void writeMessage(JsonGenerator json, Message message) throws IOException {
        if (!(message instanceof StringMapMessage fields)) {
            json.writeStringField("message", message.getFormattedMessage());
            return;
        }
        json.writeObjectFieldStart("message");
        for (Map.Entry<String, String> field : fields.getData().entrySet()) {
            json.writeStringField(field.getKey(), field.getValue());
        }
        json.writeEndObject();
    }
}
