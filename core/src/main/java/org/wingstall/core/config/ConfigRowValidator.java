package org.wingstall.core.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.SchemaCheck;
import org.wingstall.schema.table.BoxClassRow;
import org.wingstall.schema.table.EngineRow;
import org.wingstall.schema.table.PipelineRow;
import org.wingstall.schema.table.StageRow;
import org.wingstall.schema.table.WorkspaceRow;

/**
 * Validates configuration rows against their schemas and their keys.
 *
 * <p>{@code PipelineRow row = (PipelineRow) ConfigRowValidator.validate(ConfigKey.parse("pipeline/menu-plan"), tree);}
 *
 * @since 0.1
 */
public final class ConfigRowValidator {
    private ConfigRowValidator() {}

    /**
     * Validates a row against its schema and its key.
     *
     * @param key key of the row
     * @param value the row as a JSON tree
     * @return the row, as an instance of the generated class for the key's kind
     * @throws InvalidRowException if the row is not valid
     */
    public static Object validate(ConfigKey key, JsonNode value) throws InvalidRowException {
        try {
            return switch (key.kind()) {
                case PIPELINE ->
                    validatePipeline(key, SchemaCheck.of(PipelineRow.class).read(value));
                case WORKSPACE ->
                    validateName(key, SchemaCheck.of(WorkspaceRow.class).read(value), value);
                case BOX_CLASS ->
                    validateName(key, SchemaCheck.of(BoxClassRow.class).read(value), value);
                case ENGINE -> validateName(key, SchemaCheck.of(EngineRow.class).read(value), value);
            };
        } catch (InvalidDocumentException e) {
            throw new InvalidRowException(key.toString(), e.key(), e.value(), e.valid());
        }
    }

    /**
     * Validates that rows are consistent with each other: all stages that use a service must declare the same kind.
     *
     * @param rows all rows by key; null values are ignored
     * @throws InvalidRowException if two rows are inconsistent
     */
    public static void validateConsistency(Map<String, JsonNode> rows) throws InvalidRowException {
        Map<String, StageRow> byService = new HashMap<>();
        for (Map.Entry<String, JsonNode> entry : new TreeMap<>(rows).entrySet()) {
            ConfigKey key = ConfigKey.parse(entry.getKey());
            boolean present = entry.getValue() != null && !entry.getValue().isNull();
            if (key.kind() == ConfigKey.Kind.PIPELINE && present) {
                validateServiceKinds(key, (PipelineRow) validate(key, entry.getValue()), byService);
            }
        }
    }

    private static void validateServiceKinds(ConfigKey key, PipelineRow row, Map<String, StageRow> byService)
            throws InvalidRowException {
        for (StageRow stage : row.getStages()) {
            StageRow other = byService.putIfAbsent(stage.getService(), stage);
            if (other != null && other.getKind() != stage.getKind()) {
                String valid = other.getKind().value() + ", as in the other stages of " + stage.getService();
                throw new InvalidRowException(
                        key.toString(), "stages.kind", stage.getKind().value(), valid);
            }
        }
    }

    private static Object validateName(ConfigKey key, Object row, JsonNode value) throws InvalidRowException {
        String name = value.path("name").asText();
        if (!name.equals(key.name())) {
            throw new InvalidRowException(key.toString(), "name", name, "the key's name, " + key.name());
        }
        return row;
    }

    private static PipelineRow validatePipeline(ConfigKey key, PipelineRow row) throws InvalidRowException {
        if (!row.getName().equals(key.name())) {
            throw new InvalidRowException(key.toString(), "name", row.getName(), "the key's name, " + key.name());
        }
        Set<String> names = new HashSet<>();
        for (StageRow stage : row.getStages()) {
            if (!names.add(stage.getName())) {
                throw new InvalidRowException(
                        key.toString(), "stages.name", stage.getName(), "a name that no other stage has");
            }
            boolean engine = stage.getKind() == StageRow.Kind.ENGINE;
            if (engine && !stage.isRepeatable()) {
                throw new InvalidRowException(
                        key.toString(), "stages.repeatable", "false", "true for a stage of kind engine");
            }
        }
        return row;
    }
}
