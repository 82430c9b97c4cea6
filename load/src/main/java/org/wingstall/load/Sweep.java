package org.wingstall.load;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.wingstall.schema.load.LoadReport;
import org.wingstall.schema.load.Scenario;
import org.wingstall.schema.load.StageReport;
import org.wingstall.schema.load.StreamReport;

/**
 * Goodput of one policy at growing arrival rates, also as a share of its best point: attained answers a second, and tokens
 * of attained answers a second, which do not fall when dear requests go before cheap ones.
 */
final class Sweep {
    private static final double MS_PER_SECOND = 1000;

    private final String policy;
    private final Map<Double, List<Point>> points = new LinkedHashMap<>();

    private record Point(double answersPerSecond, double tokensPerSecond, LoadReport report) {}

    Sweep(String policy) {
        this.policy = policy;
    }

    void add(double factor, Scenario scenario, LoadReport report) {
        double countedS = (scenario.getDurationMs() - scenario.getWarmupMs()) / MS_PER_SECOND;
        long tokens = report.getStages().stream()
                .mapToLong(StageReport::getAttainedTokens)
                .sum();
        Point point = new Point(report.getTotal().getAttained() / countedS, tokens / countedS, report);
        points.computeIfAbsent(factor, key -> new ArrayList<>()).add(point);
    }

    void print(PrintStream out) {
        double bestAnswers = best(Point::answersPerSecond);
        double bestTokens = best(Point::tokensPerSecond);
        out.println("policy " + policy + ": goodput by arrival rate; medians");
        out.printf(
                "%8s %11s %8s %10s %8s %9s %9s%n",
                "rate x", "answers/s", "of best", "tokens/s", "of best", "attained", "wasted");
        points.forEach((factor, each) -> {
            List<LoadReport> reports = each.stream().map(Point::report).toList();
            out.printf(
                    "%8.2f %11.1f %8.2f %10.0f %8.2f %9.3f %8.1f%%%n",
                    factor,
                    median(each, Point::answersPerSecond),
                    median(each, Point::answersPerSecond) / Math.max(1, bestAnswers),
                    median(each, Point::tokensPerSecond),
                    median(each, Point::tokensPerSecond) / Math.max(1, bestTokens),
                    Comparison.median(reports, report -> report.getTotal().getAttainment()),
                    Comparison.median(reports, Comparison::wastedPercent));
            out.println("          " + streams(reports.get(0)));
        });
        out.println();
    }

    private double best(ToDoubleFunction<Point> goodput) {
        return points.values().stream()
                .mapToDouble(each -> median(each, goodput))
                .max()
                .orElse(0);
    }

    private static double median(List<Point> each, ToDoubleFunction<Point> goodput) {
        double[] sorted = each.stream().mapToDouble(goodput).sorted().toArray();
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
