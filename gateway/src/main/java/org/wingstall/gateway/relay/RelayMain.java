package org.wingstall.gateway.relay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.wingstall.net.BindException;
import org.wingstall.net.log.LogEvent;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.check.SchemaCheck;
import org.wingstall.schema.settings.RelaySettings;
import sun.misc.Signal;

/**
 * Starts a gateway on the users' platform from its settings.
 *
 * <p>{@code wingstall-relay --settings relay.yaml}
 *
 * @since 0.2
 */
public final class RelayMain {
    private static final Signal RELOAD = new Signal("HUP");

    /** Whether the signal to reload came before there was a gateway to reload. */
    private static final AtomicBoolean RELOAD_ASKED = new AtomicBoolean();

    static {
        // Without a handler the runtime ends at this signal, which may come while the process starts.
        Signal.handle(RELOAD, signal -> RELOAD_ASKED.set(true));
        RelayLogs.install();
    }

    private static final Logger LOG = LogManager.getLogger(RelayMain.class);
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final String SETTINGS_VARIABLE = "WINGSTALL_CONFIG";

    private RelayMain() {}

    /** Starts the gateway; exits with 2 when arguments or settings are not valid, with 1 when it can't listen. */
    public static void main(String[] args) throws InterruptedException {
        ArgumentParser parser = parser();
        try {
            Namespace options = parser.parseArgs(args);
            Path file = Path.of(options.getString("settings"));
            RelaySettings settings = readSettings(file);
            if (options.getBoolean("check")) {
                System.out.println("settings are valid");
                return;
            }
            run(settings, file);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        } catch (InvalidDocumentException e) {
            System.err.println("wingstall-relay: settings: " + e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (IOException e) {
            System.err.println("wingstall-relay: settings can't be read: " + e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (BindException e) {
            System.err.println("wingstall-relay: " + e.getMessage());
            System.exit(EXIT_FAILED);
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("wingstall-relay")
                .build()
                .defaultHelp(true)
                .description("The daemon of an entry box on the users' platform.")
                .epilog("example: wingstall-relay --settings /etc/wingstall/relay.yaml");
        String fromEnvironment = System.getenv(SETTINGS_VARIABLE);
        parser.addArgument("--settings")
                .required(fromEnvironment == null)
                .setDefault(fromEnvironment)
                .metavar("FILE")
                .help("settings, in YAML; the variable " + SETTINGS_VARIABLE + " when left out");
        parser.addArgument("--check").action(Arguments.storeTrue()).help("check the settings and exit");
        return parser;
    }

    private static RelaySettings readSettings(Path file) throws IOException, InvalidDocumentException {
        return SchemaCheck.of(RelaySettings.class).read(Json.readYaml(Files.readString(file)));
    }

    private static void run(RelaySettings settings, Path file) throws BindException, InterruptedException {
        RelayGateway gateway = new RelayGateway(settings);
        Signal.handle(RELOAD, signal -> reload(gateway, file));
        if (RELOAD_ASKED.get()) {
            reload(gateway, file);
        }
        gateway.start();
        Runtime.getRuntime().addShutdownHook(new Thread(gateway::stop, "stop"));
        Thread.currentThread().join();
    }

    private static void reload(RelayGateway gateway, Path file) {
        try {
            gateway.reload(readSettings(file));
        } catch (IOException | InvalidDocumentException e) {
            LogEvent.warn("settings-not-reloaded").with("file", file).cause(e).to(LOG);
        }
    }
}
