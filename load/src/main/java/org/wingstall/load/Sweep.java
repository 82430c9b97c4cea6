package org.wingstall.load;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wingstall.schema.load.LoadReport;
import org.wingstall.schema.load.Scenario;
import org.wingstall.schema.load.StreamReport;

/** Goodput of one policy at growing arrival rates: attained answers a second, also as a share of the best point. */
final class Sweep {
    private static final double MS_PER_SECOND = 1000;

    private final String policy;
    private final Map<Double, List<Point>> points = new LinkedHashMap<>();

    private record Point(double goodputPerSecond, LoadReport report) {}

    Sweep(String policy) {
        this.policy = policy;
    }

    void add(double factor, Scenario scenario, LoadReport report) {
        double countedS = (scenario.getDurationMs() - scenario.getWarmupMs()) / MS_PER_SECOND;
        Point point = new Point(report.getTotal().getAttained() / countedS, report);
        points.computeIfAbsent(factor, key -> new ArrayList<>()).add(point);
    }

    void print(PrintStream out) {
        double best = points.values().stream().mapToDouble(Sweep::goodput).max().orElse(0);
        out.println("policy " + policy + ": goodput by arrival rate; medians");
        out.printf("%8s %14s %10s %10s %9s%n", "rate x", "attained/s", "of best", "share", "wasted");
        points.forEach((factor, each) -> {
            List<LoadReport> reports = each.stream().map(Point::report).toList();
            out.printf(
                    "%8.2f %14.1f %10.2f %10.3f %8.1f%%%n",
                    factor,
                    goodput(each),
                    goodput(each) / Math.max(1, best),
                    Comparison.median(reports, report -> report.getTotal().getAttainment()),
                    Comparison.median(reports, Comparison::wastedPercent));
            out.println("          " + streams(reports.get(0)));
        });
        out.println();
    }

    private static double goodput(List<Point> each) {
        double[] sorted =
                each.stream().mapToDouble(Point::goodputPerSecond).sorted().toArray();
        return sorted[sorted.length / 2];
    }

    private static String streams(LoadReport report) {
        List<String> parts = new ArrayList<>();
        for (StreamReport stream : report.getStreams()) {
            parts.add(String.format("%s/%s %.3f", stream.getPipeline(), stream.getWorkspace(), stream.getAttainment()));
        }
        return String.join(" ", parts);
    }
}
