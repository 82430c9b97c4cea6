package org.wingstall.core.config;

/**
 * Thrown when a configuration row violates its schema or is inconsistent with another row.
 *
 * <p>{@code pipeline/menu-plan: deadlineMs: '10' is not valid; valid: at least 50}
 *
 * @since 0.1
 */
public final class InvalidRowException extends Exception {
    private final String key;

    /**
     * Creates the exception for an invalid row.
     *
     * @param key key of the row
     * @param column column that is invalid
     * @param value value of the column
     * @param valid description of the valid values
     */
    public InvalidRowException(String key, String column, String value, String valid) {
        super(key + ": " + column + ": '" + value + "' is not valid; valid: " + valid);
        this.key = key;
    }

    /** Returns the key of the row. */
    public String key() {
        return key;
    }
}
