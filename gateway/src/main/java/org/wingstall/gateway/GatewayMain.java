package org.wingstall.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.wingstall.net.BindException;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.check.SchemaCheck;
import org.wingstall.schema.settings.GatewaySettings;

/**
 * Starts a gateway from its settings.
 *
 * <p>{@code wingstall-gateway --settings gateway.yaml}
 *
 * @since 0.1
 */
public final class GatewayMain {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private GatewayMain() {}

    /** Starts the gateway; exits with 2 when arguments or settings are not valid, with 1 when it can't listen. */
    public static void main(String[] args) throws InterruptedException {
        ArgumentParser parser = parser();
        try {
            Namespace options = parser.parseArgs(args);
            GatewaySettings settings = readSettings(Path.of(options.getString("settings")));
            if (options.getBoolean("check")) {
                System.out.println("settings are valid");
                return;
            }
            run(settings);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        } catch (InvalidDocumentException e) {
            System.err.println("wingstall-gateway: settings: " + e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (IOException e) {
            System.err.println("wingstall-gateway: settings can't be read: " + e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (BindException e) {
            System.err.println("wingstall-gateway: " + e.getMessage());
            System.exit(EXIT_FAILED);
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("wingstall-gateway")
                .build()
                .defaultHelp(true)
                .description("The daemon of an entry box.")
                .epilog("example: wingstall-gateway --settings /etc/wingstall/gateway.yaml");
        parser.addArgument("--settings").required(true).metavar("FILE").help("settings, in YAML");
        parser.addArgument("--check").action(Arguments.storeTrue()).help("check the settings and exit");
        return parser;
    }

    private static GatewaySettings readSettings(Path file) throws IOException, InvalidDocumentException {
        return SchemaCheck.of(GatewaySettings.class).read(Json.readYaml(Files.readString(file)));
    }

    private static void run(GatewaySettings settings) throws BindException, InterruptedException {
        Gateway gateway = new Gateway(settings);
        gateway.start();
        Runtime.getRuntime().addShutdownHook(new Thread(gateway::stop, "stop"));
        Thread.currentThread().join();
    }
}
