package org.wingstall.standin;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.wingstall.net.BindException;
import org.wingstall.standin.endpoint.EndpointStandin;
import org.wingstall.standin.platform.PlatformStandin;
import org.wingstall.standin.proxy.FaultProxy;

/**
 * Starts one of the stand-ins of the test side.
 *
 * <p>{@code wingstall-standin platform --listen 127.0.0.1:9000}
 *
 * @since 0.1
 */
public final class StandinMain {
    private static final int EXIT_USAGE = 2;

    private StandinMain() {}

    /** Starts the stand-in that the arguments name; prints {@code listening} when it is up. */
    public static void main(String[] args) throws BindException, InterruptedException {
        ArgumentParser parser = parser();
        Namespace options;
        try {
            options = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
            return;
        }
        switch (options.getString("what")) {
            case "platform" -> PlatformStandin.start(options.getString("listen"));
            case "endpoint" -> EndpointStandin.startAll(options);
            default -> FaultProxy.start(options.getString("listen"), options.getList("route"));
        }
        System.out.println("listening");
        Thread.currentThread().join();
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("wingstall-standin")
                .build()
                .description("Stand-ins of the platform and of endpoints, and a proxy that makes faults.");
        Subparsers commands = parser.addSubparsers().dest("what");
        Subparser platform = commands.addParser("platform").help("table, object store and membership list");
        platform.addArgument("--listen").required(true).help("IP address and port");
        Subparser endpoint = commands.addParser("endpoint").help("endpoints of one service, one for each address");
        endpoint.addArgument("--listen").nargs("+").required(true).help("IP addresses and ports");
        endpoint.addArgument("--kind").choices("engine", "pool", "plain").required(true);
        endpoint.addArgument("--service").required(true);
        endpoint.addArgument("--slots").type(Integer.class).setDefault(8).help("calls worked on at once");
        endpoint.addArgument("--run-ms").type(Double.class).setDefault(5.0).help("time of a call; engines: of a token");
        endpoint.addArgument("--prefill-ms").type(Double.class).setDefault(2.0).help("engines: time of a cold block");
        endpoint.addArgument("--slow-down").type(Double.class).setDefault(0.05).help("added by each call beside it");
        endpoint.addArgument("--cache-blocks")
                .type(Integer.class)
                .setDefault(4096)
                .help("engines: blocks kept");
        endpoint.addArgument("--jitter").type(Double.class).setDefault(0.0).help("share of run-ms drawn at random");
        endpoint.addArgument("--compute")
                .action(Arguments.storeTrue())
                .help("answer at once instead of by a timer, for measuring the gateway");
        endpoint.addArgument("--ignore-tokens")
                .action(Arguments.storeTrue())
                .help("engines: take orders without looking at their token");
        endpoint.addArgument("--load-ms").type(Long.class).setDefault(300L).help("engines: time to load a model");
        Subparser proxy = commands.addParser("faultproxy").help("TCP proxy that cuts, delays, freezes and resets");
        proxy.addArgument("--listen").required(true).help("IP address and port of its controls");
        proxy.addArgument("--route").nargs("+").required(true).help("listen=target pairs of IP addresses and ports");
        return parser;
    }
}
