package org.wingstall.ctl;

import io.netty.channel.EventLoop;
import net.sourceforge.argparse4j.inf.Namespace;
import org.wingstall.core.member.Addresses;
import org.wingstall.net.http.HttpClient;
import org.wingstall.table.HttpPlatform;

/** Finds the command that the arguments name. */
final class Commands {
    private static final long CALL_TIMEOUT_MS = 2000;

    private Commands() {}

    static Command of(Namespace options, EventLoop loop) throws UsageException {
        String name = options.getString("group") + " " + options.getString("command");
        return switch (name) {
            case "table show" -> table(options, loop)::show;
            case "table set" -> table(options, loop)::set;
            case "table remove" -> table(options, loop)::remove;
            case "table import" -> table(options, loop)::importFile;
            case "table export" -> table(options, loop)::export;
            case "table history" -> table(options, loop)::history;
            case "fleet engines" -> fleet(options, loop)::engines;
            case "fleet status" -> fleet(options, loop)::status;
            case "request show" -> fleet(options, loop)::request;
            case "config check" -> out -> ConfigCheck.check(options.getString("file"), out);
            case "request explain" -> out -> RequestExplanation.explain(options.getString("id"), System.in, out);
            default -> throw new UsageException("'" + name + "' is not a command; see --help");
        };
    }

    private static TableCommands table(Namespace options, EventLoop loop) throws UsageException {
        String address = required(options, "platform", CtlParser.PLATFORM_VARIABLE);
        HttpPlatform platform = new HttpPlatform(
                new HttpClient(), loop, Addresses.parse(address), CALL_TIMEOUT_MS, System::nanoTime, () -> {});
        return new TableCommands(options, platform);
    }

    private static FleetCommands fleet(Namespace options, EventLoop loop) throws UsageException {
        String address = required(options, "gateway", CtlParser.GATEWAY_VARIABLE);
        return new FleetCommands(options, new HttpClient(), loop, Addresses.parse(address), CALL_TIMEOUT_MS);
    }

    private static String required(Namespace options, String name, String variable) throws UsageException {
        String address = options.getString(name);
        if (address == null || !address.matches("[0-9.]+:[0-9]{1,5}")) {
            String message = "--" + name + ": '" + address + "' is not valid; valid: IP address and port, there or in "
                    + variable;
            throw new UsageException(message);
        }
        return address;
    }
}
