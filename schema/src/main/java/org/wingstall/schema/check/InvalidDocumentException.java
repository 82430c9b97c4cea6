package org.wingstall.schema.check;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;

/**
 * Thrown when a document breaks its schema; the message names key, value and what is valid.
 *
 * <p>{@code policy.routing: 'fastest' is not valid; valid: one of [round-robin, least-in-flight]}
 *
 * @since 0.1
 */
public final class InvalidDocumentException extends Exception {
    private final String key;
    private final String value;
    private final String valid;

    /**
     * Creates the failure of one key.
     *
     * @param key path of the key, parts joined by dots
     * @param value value found there
     * @param valid what the schema takes there
     */
    public InvalidDocumentException(String key, String value, String valid) {
        super(key + ": '" + value + "' is not valid; valid: " + valid);
        this.key = key;
        this.value = value;
        this.valid = valid;
    }

    static InvalidDocumentException unreadable(String key, IOException cause) {
        String what = cause instanceof JsonProcessingException parse ? parse.getOriginalMessage() : cause.getMessage();
        String oneLine = what == null ? "unreadable" : what.replaceAll("\\s+", " ");
        return new InvalidDocumentException(key, oneLine, "a well-formed document of its schema");
    }

    /** Returns the path of the key at fault. */
    public String key() {
        return key;
    }

    /** Returns the value found at the key. */
    public String value() {
        return value;
    }

    /** Returns what would have been valid. */
    public String valid() {
        return valid;
    }
}
