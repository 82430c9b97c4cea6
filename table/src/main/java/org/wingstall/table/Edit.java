package org.wingstall.table;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.wingstall.core.config.ConfigKey;
import org.wingstall.schema.check.Json;

/**
 * A change of one configuration row, applied to the row as it is found.
 *
 * <p>{@code new Edit.Columns(key, Map.of("weight", new Edit.Change(before, after)))}
 *
 * @since 0.1
 */
public sealed interface Edit {
    /** Returns the key of the row. */
    ConfigKey key();

    /**
     * Returns the row as it should be.
     *
     * @param found the row as it is; a null node when it is absent
     * @return the new row; a null node removes it
     * @throws EditConflictException if what was found is not what the edit expects
     */
    JsonNode apply(JsonNode found) throws EditConflictException;

    /**
     * A new value of one column.
     *
     * @param expected value that the column must have; a null node when it must not be set
     * @param value new value
     */
    record Change(JsonNode expected, JsonNode value) {}

    /**
     * Changes some columns of a row; edits of other columns at the same time both take effect.
     *
     * @param key key of the row
     * @param changes new values by column
     */
    record Columns(ConfigKey key, Map<String, Change> changes) implements Edit {
        @Override
        public JsonNode apply(JsonNode found) throws EditConflictException {
            ObjectNode row = found.isObject() ? ((ObjectNode) found).deepCopy() : Json.MAPPER.createObjectNode();
            row.put("name", key.name());
            for (Map.Entry<String, Change> change : changes.entrySet()) {
                String column = change.getKey();
                JsonNode now = found.has(column) ? found.get(column) : NullNode.getInstance();
                if (!now.equals(change.getValue().expected())) {
                    throw new EditConflictException(
                            key + "." + column, change.getValue().expected(), now);
                }
                row.set(column, change.getValue().value());
            }
            return row;
        }
    }

    /**
     * Replaces or removes a whole row, whatever it was.
     *
     * @param key key of the row
     * @param value the new row; a null node removes it
     */
    record Row(ConfigKey key, JsonNode value) implements Edit {
        @Override
        public JsonNode apply(JsonNode found) {
            return value;
        }
    }
}
