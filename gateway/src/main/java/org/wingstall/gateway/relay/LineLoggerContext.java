package org.wingstall.gateway.relay;

import java.net.URI;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.message.ParameterizedMessageFactory;
import org.apache.logging.log4j.simple.SimpleLogger;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerContextFactory;
import org.apache.logging.log4j.spi.LoggerRegistry;
import org.apache.logging.log4j.util.PropertiesUtil;

/**
 * The one context of the relay's loggers, which hand their lines to a {@link LogLines}. Safe for use on any thread.
 *
 * <p>{@code LogManager.getLogger(Box.class).info("started")}, once {@link RelayLogs#install} was called.
 *
 * @since 0.6
 */
public final class LineLoggerContext implements LoggerContext, LoggerContextFactory {
    /** Libraries whose warnings tell operators nothing. */
    private static final List<String> CHATTY_LIBRARIES = List.of("com.networknt", "io.netty");

    private static final String LEVEL_PROPERTY = "wingstall.logLevel";
    private static final PropertiesUtil NO_PROPERTIES = new PropertiesUtil(new java.util.Properties());

    private final LoggerRegistry<ExtendedLogger> loggers = new LoggerRegistry<>();
    private final Level level = Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO);
    private final LogLines lines = LogLines.toStandardOutput();

    /** Hands its lines over instead of writing them. */
    private final class LineLogger extends SimpleLogger {
        private static final long serialVersionUID = 1;

        LineLogger(String name, Level atLeast) {
            super(
                    name,
                    atLeast,
                    false,
                    false,
                    false,
                    false,
                    "",
                    ParameterizedMessageFactory.INSTANCE,
                    NO_PROPERTIES,
                    System.out);
        }

        @Override
        public void logMessage(String caller, Level at, Marker marker, Message message, Throwable thrown) {
            lines.add(new LogLines.Line(System.currentTimeMillis(), at, getName(), message, thrown));
        }
    }

    @Override
    public ExtendedLogger getLogger(String name) {
        ExtendedLogger known = loggers.getLogger(name);
        if (known == null) {
            loggers.putIfAbsent(name, null, new LineLogger(name, levelOf(name)));
            known = loggers.getLogger(name);
        }
        return known;
    }

    private Level levelOf(String name) {
        return CHATTY_LIBRARIES.stream().anyMatch(name::startsWith) ? Level.ERROR : level;
    }

    @Override
    public ExtendedLogger getLogger(String name, MessageFactory any) {
        return getLogger(name);
    }

    @Override
    public boolean hasLogger(String name) {
        return loggers.hasLogger(name);
    }

    @Override
    public boolean hasLogger(String name, MessageFactory any) {
        return hasLogger(name);
    }

    @Override
    public boolean hasLogger(String name, Class<? extends MessageFactory> any) {
        return hasLogger(name);
    }

    @Override
    public Object getExternalContext() {
        return null;
    }

    @Override
    public LoggerContext getContext(String caller, ClassLoader loader, Object external, boolean current) {
        return this;
    }

    @Override
    public LoggerContext getContext(
            String caller, ClassLoader loader, Object external, boolean current, URI configuration, String name) {
        return this;
    }

    @Override
    public void removeContext(LoggerContext context) {
        lines.close();
    }

    @Override
    public void shutdown(String caller, ClassLoader loader, boolean current, boolean all) {
        lines.close();
    }

    @Override
    public boolean isClassLoaderDependent() {
        return false;
    }
}
