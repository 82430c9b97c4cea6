package org.wingstall.table;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Thrown when another edit changed a cell first; shows both values.
 *
 * <p>{@code workspace/acme.weight changed: expected 1, found 3}
 *
 * @since 0.1
 */
public final class EditConflictException extends Exception {
    private final transient JsonNode expected;
    private final transient JsonNode found;

    EditConflictException(String key, JsonNode expected, JsonNode found) {
        super(key + " changed: expected " + expected + ", found " + found);
        this.expected = expected;
        this.found = found;
    }

    /** Returns the value that the editor expected. */
    public JsonNode expected() {
        return expected;
    }

    /** Returns the value that the row has. */
    public JsonNode found() {
        return found;
    }
}
