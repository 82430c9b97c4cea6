package org.wingstall.load;

import java.io.IOException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.wingstall.schema.check.InvalidDocumentException;

/**
 * The load and experiment tool.
 *
 * <p>{@code wingstall-load run --scenario lunch.yaml --policy ours=127.0.0.1:8080}
 *
 * @since 0.1
 */
public final class LoadMain {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private LoadMain() {}

    /** Runs or compares; exits with 2 when arguments or scenario are not valid. */
    public static void main(String[] args) throws InterruptedException {
        ArgumentParser parser = LoadParser.create();
        try {
            Namespace options = parser.parseArgs(args);
            switch (options.getString("command")) {
                case "direct" -> DirectRun.run(options, System.out);
                case "slopes" -> Slopes.print(System.out);
                case "sweep" -> Experiment.of(options).sweep(System.out);
                default -> Experiment.of(options).compare(System.out);
            }
            System.exit(0);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        } catch (InvalidDocumentException e) {
            System.err.println("wingstall-load: " + e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (IOException e) {
            System.err.println("wingstall-load: " + e);
            System.exit(EXIT_FAILED);
        }
    }
}
