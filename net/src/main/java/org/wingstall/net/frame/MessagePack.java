package org.wingstall.net.frame;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.MapperBuilder;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;

/**
 * Reads and writes generated classes as MessagePack.
 *
 * <p>{@code byte[] bytes = MessagePack.write(frame);}
 *
 * @since 0.1
 */
public final class MessagePack {
    private static final ObjectMapper MAPPER = mapper();

    private MessagePack() {}

    @SuppressWarnings({"unchecked", "rawtypes"})
    private static ObjectMapper mapper() {
        MapperBuilder builder = MessagePackMapper.builder();
        return (ObjectMapper) Json.configure(builder)
                .serializationInclusion(com.fasterxml.jackson.annotation.JsonInclude.Include.NON_EMPTY)
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
