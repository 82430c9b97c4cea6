package org.wingstall.load;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import org.wingstall.core.member.Addresses;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.check.SchemaCheck;
import org.wingstall.schema.load.LoadReport;
import org.wingstall.schema.load.Scenario;

/** A scenario on several policies: compared on the same seeds, or swept over arrival rates. */
final class Experiment {
    private final Scenario scenario;
    private final List<Target> targets;
    private final Map<String, InetSocketAddress> endpoints;
    private final Namespace options;
    private final long seed;
    private final int repeats;

    private Experiment(
            Scenario scenario, List<Target> targets, Map<String, InetSocketAddress> endpoints, Namespace options) {
        this.scenario = scenario;
        this.targets = targets;
        this.endpoints = endpoints;
        this.options = options;
        this.seed = options.getLong("seed");
        this.repeats = options.getInt("repeats");
    }

    static Experiment of(Namespace options) throws IOException, InvalidDocumentException {
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
        return new Experiment(scenario, List.copyOf(targets.values()), endpoints, options);
    }

    /** Runs the policies in turn and prints their ratios to the first. */
    void compare(PrintStream out) throws IOException, InterruptedException {
        List<LoadReport> reports = runInTurn();
        Comparison comparison =
                new Comparison(targets.stream().map(Target::policy).toList(), reports);
        comparison.print(out);
        if (options.getString("out") != null) {
            ReportFiles.write(Path.of(options.getString("out")), scenario, reports, comparison);
        }
    }

    /** Runs every policy at every rate and prints its goodput relative to its own best. */
    void sweep(PrintStream out) throws InterruptedException {
        for (Target target : targets) {
            new LoadRun(Scenarios.shortened(scenario), target, Map.of(), seed).run();
            Sweep sweep = new Sweep(target.policy());
            for (double factor : options.<Double>getList("factors")) {
                for (int repeat = 0; repeat < repeats; repeat++) {
                    Scenario scaled = Scenarios.scaled(scenario, factor);
                    sweep.add(factor, scaled, new LoadRun(scaled, target, endpoints, seed + repeat).run());
                }
            }
            sweep.print(out);
        }
    }

    /** Runs all once uncounted, so that nobody goes first on cold processes; then in turn, every other time backwards. */
    private List<LoadReport> runInTurn() throws InterruptedException {
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
}
