package org.wingstall.gateway.relay;

import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Sets up the relay's logs in code, since reading a file of settings for them takes most of a start.
 *
 * <p>Lines go to standard output from a thread of their own; when its reader stops, lines are dropped and no request waits.
 *
 * <p>{@code RelayLogs.install();} before the first logger is made.
 */
final class RelayLogs {
    /** Lines that wait for their reader; a few seconds of a busy box. */
    private static final int WAITING_LINES = 2048;

    /** Libraries whose warnings tell operators nothing. */
    private static final List<String> CHATTY_LIBRARIES = List.of("com.networknt", "io.netty");

    private static final String CONSOLE = "console";
    private static final String QUEUE = "queue";
    private static final String LEVEL_PROPERTY = "wingstall.logLevel";

    private RelayLogs() {}

    /** Hands the configuration over as it is: looking for one makes Log4j load all of its plugins, a tenth of a start. */
    static void install() {
        Configurator.initialize(new RelayConfiguration());
    }

    private static final class RelayConfiguration extends AbstractConfiguration {
        RelayConfiguration() {
            super(null, ConfigurationSource.NULL_SOURCE);
            isShutdownHookEnabled = false;
        }

        /** Leaves out what only configurations read from files need. */
        @Override
        public void initialize() {
            doConfigure();
            setState(State.INITIALIZED);
        }

        @Override
        protected void doConfigure() {
            ConsoleAppender console = ConsoleAppender.newBuilder()
                    .setName(CONSOLE)
                    .setTarget(ConsoleAppender.Target.SYSTEM_OUT)
                    .setLayout(new JsonLineLayout())
                    .setConfiguration(this)
                    .build();
            addAppender(console);
            AsyncAppender queue = AsyncAppender.newBuilder()
                    .setName(QUEUE)
                    .setBlocking(false)
                    .setBufferSize(WAITING_LINES)
                    .setAppenderRefs(new AppenderRef[] {AppenderRef.createAppenderRef(CONSOLE, null, null)})
                    .setConfiguration(this)
                    .build();
            addAppender(queue);
            for (String library : CHATTY_LIBRARIES) {
                addLogger(library, new LoggerConfig(library, Level.ERROR, true));
            }
            getRootLogger().addAppender(queue, null, null);
            getRootLogger().setLevel(Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO));
        }
    }
}
