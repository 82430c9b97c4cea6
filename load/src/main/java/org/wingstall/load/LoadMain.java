package org.wingstall.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.wingstall.core.member.Addresses;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.check.SchemaCheck;
import org.wingstall.schema.load.LoadReport;
import org.wingstall.schema.load.Scenario;

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
        ArgumentParser parser = parser();
        try {
            Namespace options = parser.parseArgs(args);
            switch (options.getString("command")) {
                case "direct" -> DirectRun.run(options, System.out);
                case "slopes" -> Slopes.print(System.out);
                default -> compare(options);
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

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("wingstall-load")
                .build()
                .description("Puts an open-loop load on gateways; latencies count from the planned arrival.");
        Subparsers commands = parser.addSubparsers().dest("command");
        for (String name : List.of("run", "compare")) {
            Subparser command = commands.addParser(name);
            command.addArgument("--scenario").required(true).metavar("FILE").help("scenario, in YAML");
            command.addArgument("--policy")
                    .required(true)
                    .nargs("+")
                    .metavar("NAME=ADDRESS,ADDRESS")
                    .help("gateways of a policy; compare takes several in turn and gives ratios to the first");
            command.addArgument("--endpoint").nargs("+").setDefault(List.of()).metavar("NAME=ADDRESS");
            command.addArgument("--seed").type(Long.class).setDefault(1L);
            command.addArgument("--repeats").type(Integer.class).setDefault(name.equals("run") ? 1 : 3);
            command.addArgument("--out").metavar("FOLDER").help("write report.json and report.html there");
        }
        commands.addParser("slopes").help("memory, bytes and times of the gateway's state at growing sizes");
        Subparser direct = commands.addParser("direct").help("closed-loop calls, for the gateway's own cost");
        direct.addArgument("--target").required(true).metavar("ADDRESS");
        direct.addArgument("--path").required(true);
        direct.addArgument("--body").required(true).metavar("JSON");
        direct.addArgument("--connections").type(Integer.class).setDefault(32);
        direct.addArgument("--seconds").type(Integer.class).setDefault(5);
        return parser;
    }

    /** Runs all once uncounted, so that nobody goes first on cold processes; then in turn, every other time backwards. */
    private static List<LoadReport> runInTurn(
            Scenario scenario, List<Target> targets, Map<String, InetSocketAddress> endpoints, long seed, int repeats)
            throws InterruptedException {
        for (Target target : targets) {
            new LoadRun(Scenarios.shortened(scenario), target, Map.of(), seed).run();
        }
        List<LoadReport> reports = new ArrayList<>();
        for (int repeat = 0; repeat < repeats; repeat++) {
            List<Target> order = new ArrayList<>(targets);
            if (repeat % 2 == 1) {
                Collections.reverse(order);
            }
            for (Target target : order) {
                reports.add(new LoadRun(scenario, target, endpoints, seed + repeat).run());
            }
        }
        return reports;
    }

    private static void compare(Namespace options) throws IOException, InvalidDocumentException, InterruptedException {
        String text = Files.readString(Path.of(options.getString("scenario")));
        Scenario scenario = SchemaCheck.of(Scenario.class).read(Json.readYaml(text));
        Map<String, Target> targets = new LinkedHashMap<>();
        for (String policy : options.<String>getList("policy")) {
            Target target = Target.parse(policy);
            targets.put(target.policy(), target);
        }
        Map<String, InetSocketAddress> endpoints = new LinkedHashMap<>();
        for (String endpoint : options.<String>getList("endpoint")) {
            int equals = endpoint.indexOf('=');
            endpoints.put(endpoint.substring(0, equals), Addresses.parse(endpoint.substring(equals + 1)));
        }
        List<LoadReport> reports = runInTurn(
                scenario, List.copyOf(targets.values()), endpoints, options.getLong("seed"), options.getInt("repeats"));
        Comparison comparison = new Comparison(List.copyOf(targets.keySet()), reports);
        comparison.print(System.out);
        if (options.getString("out") != null) {
            ReportFiles.write(Path.of(options.getString("out")), scenario, reports, comparison);
        }
    }
}
