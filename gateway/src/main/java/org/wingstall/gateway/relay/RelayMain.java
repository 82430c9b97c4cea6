package org.wingstall.gateway.relay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
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
import org.wingstall.schema.settings.RelaySettingsReader;
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
    private static final String SETTINGS = "settings";
    private static final String CHECK = "check";
    private static final String SETTINGS_VARIABLE = "WINGSTALL_CONFIG";

    private RelayMain() {}

    /** Starts the gateway; exits with 2 when arguments or settings are not valid, with 1 when it can't listen. */
    public static void main(String[] args) throws InterruptedException {
        String fromEnvironment = System.getenv(SETTINGS_VARIABLE);
        boolean plain = args.length == 0 && fromEnvironment != null;
        // The parser of arguments would be a fiftieth of a start, and there is nothing to parse.
        Namespace options = plain ? new Namespace(Map.of(SETTINGS, fromEnvironment, CHECK, false)) : parse(args);
        try {
            Path file = Path.of(options.getString(SETTINGS));
            RelaySettings settings = options.getBoolean(CHECK) ? readSettings(file) : settingsOfStart(file);
            if (options.getBoolean(CHECK)) {
                System.out.println("settings are valid");
                return;
            }
            run(settings, file);
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

    private static Namespace parse(String[] args) {
        ArgumentParser parser = parser();
        try {
            return parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
            return new Namespace(Map.of());
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("wingstall-relay")
                .build()
                .defaultHelp(true)
                .description("The daemon of an entry box on the users' platform.")
                .epilog("example: wingstall-relay --settings /etc/wingstall/relay.yaml");
        String fromEnvironment = System.getenv(SETTINGS_VARIABLE);
        parser.addArgument("--" + SETTINGS)
                .required(fromEnvironment == null)
                .setDefault(fromEnvironment)
                .metavar("FILE")
                .help("settings, in YAML; the variable " + SETTINGS_VARIABLE + " when left out");
        parser.addArgument("--" + CHECK).action(Arguments.storeTrue()).help("check the settings and exit");
        return parser;
    }

    /** Callers wait for a start, so what is plainly valid is taken without building the check. */
    private static RelaySettings settingsOfStart(Path file) throws IOException, InvalidDocumentException {
        Optional<RelaySettings> valid = RelaySettingsReader.read(Files.readString(file));
        return valid.isPresent() ? valid.get() : readSettings(file);
    }

    private static RelaySettings readSettings(Path file) throws IOException, InvalidDocumentException {
        return SchemaCheck.of(RelaySettings.class).read(Json.readYaml(Files.readString(file)));
    }

    private static void run(RelaySettings settings, Path file) throws BindException, InterruptedException {
        RelayGateway gateway = RelayGateway.listening(settings);
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
