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
 * Checks configuration rows, each against its schema and against its key.
 *
 * <p>{@code PipelineRow row = (PipelineRow) ConfigRowValidator.read(ConfigKey.parse("pipeline/menu-plan"), tree);}
 *
 * @since 0.1
 */
public final class ConfigRowValidator {
    private ConfigRowValidator() {}

    /**
     * Checks a row.
     *
     * @param key key of the row
     * @param value the row's tree
     * @return the row, of the class that belongs to the key's kind
     * @throws InvalidRowException if the row is not valid
     */
    public static Object validate(ConfigKey key, JsonNode value) throws InvalidRowException {
        try {
            return switch (key.kind()) {
                case PIPELINE ->
                    checkPipeline(key, SchemaCheck.of(PipelineRow.class).read(value));
                case WORKSPACE ->
                    checkName(key, SchemaCheck.of(WorkspaceRow.class).read(value), value);
                case BOX_CLASS ->
                    checkName(key, SchemaCheck.of(BoxClassRow.class).read(value), value);
                case ENGINE -> checkName(key, SchemaCheck.of(EngineRow.class).read(value), value);
            };
        } catch (InvalidDocumentException e) {
            throw new InvalidRowException(key.toString(), e.key(), e.value(), e.valid());
        }
    }

    /**
     * Checks rows against each other: all stages of a service must agree on its kind.
     *
     * @param rows every row by its key; null values are passed over
     * @throws InvalidRowException if two rows contradict each other
     */
    public static void validateConsistency(Map<String, JsonNode> rows) throws InvalidRowException {
        Map<String, StageRow> byService = new HashMap<>();
        for (Map.Entry<String, JsonNode> entry : new TreeMap<>(rows).entrySet()) {
            ConfigKey key = ConfigKey.parse(entry.getKey());
            boolean present = entry.getValue() != null && !entry.getValue().isNull();
            if (key.kind() == ConfigKey.Kind.PIPELINE && present) {
                checkServices(key, (PipelineRow) validate(key, entry.getValue()), byService);
            }
        }
    }

    private static void checkServices(ConfigKey key, PipelineRow row, Map<String, StageRow> byService)
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

    private static Object checkName(ConfigKey key, Object row, JsonNode value) throws InvalidRowException {
        String name = value.path("name").asText();
        if (!name.equals(key.name())) {
            throw new InvalidRowException(key.toString(), "name", name, "the key's name, " + key.name());
        }
        return row;
    }

    private static PipelineRow checkPipeline(ConfigKey key, PipelineRow row) throws InvalidRowException {
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
