package org.wingstall.core.config;

/**
 * Thrown when a configuration row breaks its schema or contradicts another row.
 *
 * <p>{@code pipeline/menu-plan: deadlineMs: '10' is not valid; valid: at least 50}
 *
 * @since 0.1
 */
public final class InvalidRowException extends Exception {
    private final String key;

    /**
     * Creates the failure of a row.
     *
     * @param key key of the row
     * @param column column at fault
     * @param value value found there
     * @param valid what would have been valid
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
