package org.wingstall.gateway.relay;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.Log4J2LoggerFactory;
import org.apache.logging.log4j.spi.Provider;

/**
 * Sets up the relay's logs: Log4j 2's interface with its simple loggers, whose lines a thread of their own writes.
 *
 * <p>The set-up of Log4j's core, with its plugins and configuration, took a third of the processor time of the main thread
 * of a start, and nothing here needs more than lines of JSON on standard output.
 *
 * <p>{@code RelayLogs.install();} before the first logger is made.
 */
final class RelayLogs {
    private static final String PROVIDER_PROPERTY = "log4j.provider";

    private RelayLogs() {}

    static void install() {
        System.setProperty(PROVIDER_PROPERTY, LineProvider.class.getName());
        InternalLoggerFactory.setDefaultFactory(Log4J2LoggerFactory.INSTANCE);
    }

    /**
     * Names the context of loggers; made by Log4j, by its class name.
     *
     * <p>{@code -Dlog4j.provider=org.wingstall.gateway.relay.RelayLogs$LineProvider}
     *
     * @since 0.6
     */
    public static final class LineProvider extends Provider {
        /** No other provider is asked, so any priority will do. */
        private static final int PRIORITY = 100;

        /** Creates the provider. */
        public LineProvider() {
            super(PRIORITY, CURRENT_VERSION, LineLoggerContext.class);
        }
    }
}
