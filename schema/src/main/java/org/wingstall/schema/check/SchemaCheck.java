package org.wingstall.schema.check;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.ApplyDefaultsStrategy;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SchemaLocation;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Checks documents against the schema of a generated class and fills in defaults.
 *
 * <p>{@code GatewaySettings settings = SchemaCheck.of(GatewaySettings.class).read(tree);}
 *
 * @param <T> generated class
 * @since 0.1
 */
public final class SchemaCheck<T> {
    private static final String ROOT_PACKAGE = "org.wingstall.schema.";
    private static final Map<Class<?>, SchemaCheck<?>> CHECKS = new ConcurrentHashMap<>();

    private final Class<T> type;
    private final JsonSchema schema;

    private SchemaCheck(Class<T> type) {
        this.type = type;
        String path = type.getName().substring(ROOT_PACKAGE.length()).replace('.', '/');
        SchemaValidatorsConfig config = SchemaValidatorsConfig.builder()
                .applyDefaultsStrategy(new ApplyDefaultsStrategy(true, false, false))
                .build();
        this.schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                .getSchema(SchemaLocation.of("classpath:org/wingstall/schema/" + path + ".json"), config);
    }

    /**
     * Returns the check of a generated class.
     *
     * @param type generated class
     * @param <T> generated class
     * @return the check, shared by all callers
     */
    @SuppressWarnings("unchecked")
    public static <T> SchemaCheck<T> of(Class<T> type) {
        return (SchemaCheck<T>) CHECKS.computeIfAbsent(type, SchemaCheck::new);
    }

    /**
     * Checks a document, fills in its defaults and turns it into the class.
     *
     * @param document the document's tree, left as it is
     * @return the object
     * @throws InvalidDocumentException at the first key that breaks the schema
     */
    public T read(JsonNode document) throws InvalidDocumentException {
        if (document == null || !document.isObject()) {
            throw new InvalidDocumentException(type.getSimpleName(), String.valueOf(document), "an object");
        }
        JsonNode filled = document.deepCopy();
        Set<ValidationMessage> broken = schema.walk(filled, true).getValidationMessages();
        if (!broken.isEmpty()) {
            throw explain(broken.iterator().next(), document);
        }
        return Json.convert(filled, type);
    }

    private InvalidDocumentException explain(ValidationMessage message, JsonNode document) {
        String location = message.getInstanceLocation().toString();
        JsonNode found = message.getInstanceNode();
        String key = dotted(location);
        switch (message.getType()) {
            case "additionalProperties":
                String unknown = message.getProperty();
                return new InvalidDocumentException(join(key, unknown), "unknown key", "one of " + keysOf(message));
            case "required":
                return new InvalidDocumentException(join(key, message.getProperty()), "missing", "a value");
            default:
                return new InvalidDocumentException(key, valueText(found), validText(message));
        }
    }

    private static String validText(ValidationMessage message) {
        JsonNode rule = message.getSchemaNode();
        String bound = rule == null ? "" : valueText(rule);
        return switch (message.getType()) {
            case "minimum" -> "at least " + bound;
            case "maximum" -> "at most " + bound;
            case "enum" -> "one of " + bound;
            case "type" -> "of type " + bound;
            case "pattern" -> "text matching " + bound;
            case "minItems" -> "at least " + bound + " items";
            case "maxItems" -> "at most " + bound + " items";
            case "maxLength" -> "at most " + bound + " characters";
            default -> message.getMessage();
        };
    }

    private static String valueText(JsonNode node) {
        if (node == null) {
            return "nothing";
        }
        return node.isTextual() ? node.asText() : node.toString();
    }

    private List<String> keysOf(ValidationMessage message) {
        List<String> keys = new ArrayList<>();
        JsonNode node = schema.getSchemaNode();
        String location = message.getInstanceLocation().toString();
        for (String part : dotted(location).split("\\.")) {
            JsonNode next = node.path("properties").path(part);
            if (!next.isMissingNode()) {
                node = next;
            }
        }
        Iterator<String> names = node.path("properties").fieldNames();
        names.forEachRemaining(keys::add);
        return keys;
    }

    private static String dotted(String location) {
        return location.replaceFirst("^\\$\\.?", "").replaceFirst("^/", "").replace('/', '.');
    }

    private static String join(String parent, String child) {
        return parent.isEmpty() ? child : parent + "." + child;
    }
}
