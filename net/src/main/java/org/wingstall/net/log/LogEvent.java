package org.wingstall.net.log;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.MapMessage;

/**
 * Builds one log line of named fields.
 *
 * <p>{@code LogEvent.info("request-ended").with("requestId", id).with("outcome", "complete").to(LOG);}
 *
 * @since 0.1
 */
public final class LogEvent {
    private final Level level;
    private final FieldsMessage message = new FieldsMessage();
    private Throwable cause;

    /** The fields of a line; numbers and truth values stay what they are, so that readers can reckon with them. */
    private static final class FieldsMessage extends MapMessage<FieldsMessage, Object> {
        private static final long serialVersionUID = 1;
    }

    private LogEvent(Level level, String event) {
        this.level = level;
        message.with("event", event);
    }

    /** Starts a line for what happens in the ordinary run of things. */
    public static LogEvent info(String event) {
        return new LogEvent(Level.INFO, event);
    }

    /** Starts a line for what an operator should see. */
    public static LogEvent warn(String event) {
        return new LogEvent(Level.WARN, event);
    }

    /** Starts a line that is of use when looking for a fault only. */
    public static LogEvent debug(String event) {
        return new LogEvent(Level.DEBUG, event);
    }

    /** Adds a field; null is passed over. */
    public LogEvent with(String field, Object value) {
        if (value instanceof Number || value instanceof Boolean) {
            message.with(field, value);
        } else if (value != null) {
            message.with(field, String.valueOf(value));
        }
        return this;
    }

    /** Adds the failure that the line tells of. */
    public LogEvent cause(Throwable failure) {
        cause = failure;
        return with("error", failure.getClass().getSimpleName()).with("message", failure.getMessage());
    }

    /** Writes the line. */
    public void to(Logger logger) {
        boolean trace = cause != null && logger.isDebugEnabled();
        if (trace) {
            logger.log(level, message, cause);
        } else {
            logger.log(level, message);
        }
    }
}
