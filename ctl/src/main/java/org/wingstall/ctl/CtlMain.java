package org.wingstall.ctl;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.PrintStream;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.wingstall.core.config.InvalidRowException;
import org.wingstall.net.EventLoops;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.table.EditConflictException;
import org.wingstall.table.PlatformException;

/**
 * The operators' client.
 *
 * <p>{@code wingstallctl --platform 127.0.0.1:9000 table show workspace}
 *
 * @since 0.1
 */
public final class CtlMain {
    private CtlMain() {}

    /** Runs one command and exits with its code. */
    public static void main(String[] args) throws InterruptedException {
        ArgumentParser parser = CtlParser.create();
        EventLoopGroup group = EventLoops.group("ctl", 1);
        ExitCode code = run(parser, args, group, System.out, System.err);
        System.out.flush();
        System.exit(code.number());
    }

    private static ExitCode run(
            ArgumentParser parser, String[] args, EventLoopGroup group, PrintStream out, PrintStream err)
            throws InterruptedException {
        try {
            Namespace options = parser.parseArgs(args);
            Command command = Commands.of(options, group.next());
            command.run(out);
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return ExitCode.USAGE;
        } catch (InvalidDocumentException | InvalidRowException | UsageException e) {
            err.println("wingstallctl: " + e.getMessage());
            return ExitCode.USAGE;
        } catch (EditConflictException e) {
            err.println("wingstallctl: conflict: " + e.getMessage());
            return ExitCode.CONFLICT;
        } catch (NotFoundException e) {
            err.println("wingstallctl: " + e.getMessage());
            return ExitCode.NOT_FOUND;
        } catch (PlatformException | UnreachableException | IOException e) {
            err.println("wingstallctl: " + e.getMessage());
            return ExitCode.FAILED;
        }
    }
}
