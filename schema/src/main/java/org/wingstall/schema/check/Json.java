package org.wingstall.schema.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Reads and writes JSON and YAML documents of the generated classes.
 *
 * <p>{@code PipelineRow row = Json.read(bytes, PipelineRow.class);}
 *
 * @since 0.1
 */
public final class Json {
    /** Mapper of JSON documents; fields that a document leaves out keep their schema's default. */
    public static final ObjectMapper MAPPER = configure(JsonMapper.builder()).build();

    /** Made when the first YAML document is read, which is never in the ordinary start of a relay. */
    private static final class Yaml {
        private static final ObjectMapper MAPPER =
                configure(YAMLMapper.builder()).build();
    }

    private Json() {}

    /**
     * Sets up a mapper of any format so that it fits the generated classes.
     *
     * @param builder builder of the format's mapper
     * @param <B> type of the builder
     * @return the same builder
     */
    public static <B extends com.fasterxml.jackson.databind.cfg.MapperBuilder<?, B>> B configure(B builder) {
        return builder.disable(MapperFeature.INFER_CREATOR_FROM_CONSTRUCTOR_PROPERTIES)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .disable(MapperFeature.AUTO_DETECT_CREATORS);
    }

    /**
     * Reads a JSON document into a generated class.
     *
     * @param document UTF-8 bytes
     * @param type generated class
     * @param <T> generated class
     * @return the object
     * @throws InvalidDocumentException if the bytes are no JSON or don't fit the class
     */
    public static <T> T read(byte[] document, Class<T> type) throws InvalidDocumentException {
        try {
            T value = MAPPER.readValue(document, type);
            if (value == null) {
                throw new InvalidDocumentException(type.getSimpleName(), "null", "an object");
            }
            return value;
        } catch (IOException e) {
            throw InvalidDocumentException.unreadable(type.getSimpleName(), e);
        }
    }

    /**
     * Reads any JSON document.
     *
     * @param document UTF-8 bytes
     * @return the document's tree
     * @throws InvalidDocumentException if the bytes are no JSON
     */
    public static JsonNode readTree(byte[] document) throws InvalidDocumentException {
        try {
            JsonNode tree = MAPPER.readTree(document);
            if (tree == null || tree.isMissingNode()) {
                throw new InvalidDocumentException("document", "nothing", "a JSON document");
            }
            return tree;
        } catch (IOException e) {
            throw InvalidDocumentException.unreadable("document", e);
        }
    }

    /**
     * Reads a YAML document.
     *
     * @param document text of the document
     * @return the document's tree
     * @throws InvalidDocumentException if the text is no YAML
     */
    public static JsonNode readYaml(String document) throws InvalidDocumentException {
        try {
            return Yaml.MAPPER.readTree(document);
        } catch (JsonProcessingException e) {
            throw InvalidDocumentException.unreadable("document", e);
        }
    }

    /**
     * Turns a tree into a generated class.
     *
     * @param tree tree that was checked against the class's schema
     * @param type generated class
     * @param <T> generated class
     * @return the object
     * @throws InvalidDocumentException if the tree doesn't fit the class
     */
    public static <T> T convert(JsonNode tree, Class<T> type) throws InvalidDocumentException {
        try {
            return MAPPER.treeToValue(tree, type);
        } catch (JsonProcessingException e) {
            throw InvalidDocumentException.unreadable(type.getSimpleName(), e);
        }
    }

    /**
     * Turns an object of a generated class into a tree.
     *
     * @param value object of a generated class
     * @return its tree
     */
    public static JsonNode toTree(Object value) {
        return MAPPER.valueToTree(value);
    }

    /**
     * Writes an object of a generated class, or a tree, as UTF-8 JSON.
     *
     * @param value object or tree
     * @return UTF-8 bytes
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Writes an object of a generated class, or a tree, as JSON text.
     *
     * @param value object or tree
     * @return the text
     */
    public static String writeText(Object value) {
        return new String(write(value), StandardCharsets.UTF_8);
    }
}
