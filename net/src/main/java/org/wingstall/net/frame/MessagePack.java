package org.wingstall.net.frame;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import org.wingstall.schema.check.InvalidDocumentException;

/**
 * Reads and writes generated classes as MessagePack arrays of their properties in the schema's order, which keeps
 * heartbeats small; a new property goes to the end of its schema.
 *
 * <p>{@code byte[] bytes = MessagePack.write(frame);}
 *
 * @since 0.1
 */
public final class MessagePack {
    private static final ObjectMapper MAPPER = mapper();

    private MessagePack() {}

    private static ObjectMapper mapper() {
        return MessagePackMapper.builder()
                .annotationIntrospector(new JsonArrayFormat())
                .disable(MapperFeature.INFER_CREATOR_FROM_CONSTRUCTOR_PROPERTIES)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .build();
    }

    /** Writes an object of a generated class. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads an object of a generated class.
     *
     * @param bytes MessagePack
     * @param type generated class
     * @param <T> generated class
     * @return the object
     * @throws InvalidDocumentException if the bytes don't fit the class
     */
    public static <T> T read(byte[] bytes, Class<T> type) throws InvalidDocumentException {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new InvalidDocumentException(type.getSimpleName(), e.getMessage(), "MessagePack of its schema");
        }
    }
}
