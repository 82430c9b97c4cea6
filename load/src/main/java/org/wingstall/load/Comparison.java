package org.wingstall.load;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.wingstall.schema.load.LoadReport;
import org.wingstall.schema.load.ReasonCount;
import org.wingstall.schema.load.StageReport;
import org.wingstall.schema.load.StreamReport;

/** Puts the reports of several policies side by side; every ratio is of two runs on the same seed. */
final class Comparison {
    private static final String HEAD = "%-26s %10s %17s %9s %9s %9s %12s %8s%n";
    private static final String ROW = "%-26s %10.4f %17s %9.1f %9.1f %9.1f %12.1f %7.1f%%%n";

    private final List<String> policies;
    private final List<LoadReport> reports;

    Comparison(List<String> policies, List<LoadReport> reports) {
        this.policies = policies;
        this.reports = reports;
    }

    void print(PrintStream out) {
        out.println("scenario " + reports.get(0).getScenario() + ", " + reports.size() / policies.size()
                + " runs of each policy in turn on the same seeds; medians; ratios to " + policies.get(0)
                + " as least..median..most");
        out.printf(HEAD, "policy", "attained", "ratio", "p50 ms", "p95 ms", "p99 ms", "ms/attained", "wasted");
        for (String policy : policies) {
            List<LoadReport> mine = of(policy);
            out.printf(
                    ROW,
                    policy,
                    median(mine, r -> r.getTotal().getAttainment()),
                    ratios(policy),
                    median(mine, r -> r.getTotal().getP50Ms()),
                    median(mine, r -> r.getTotal().getP95Ms()),
                    median(mine, r -> r.getTotal().getP99Ms()),
                    median(mine, Comparison::runMsPerAttained),
                    median(mine, Comparison::wastedPercent));
        }
        policies.forEach(policy -> printDetails(out, policy));
        out.println();
    }

    private List<LoadReport> of(String policy) {
        return reports.stream().filter(r -> r.getPolicy().equals(policy)).toList();
    }

    private String ratios(String policy) {
        List<LoadReport> base = of(policies.get(0));
        List<LoadReport> mine = of(policy);
        List<Double> ratios = new ArrayList<>();
        for (int i = 0; i < mine.size(); i++) {
            double before = base.get(i).getTotal().getAttainment();
            ratios.add(before == 0 ? 0 : mine.get(i).getTotal().getAttainment() / before);
        }
        ratios.sort(Double::compare);
        return String.format(
                "%.2f..%.2f..%.2f", ratios.get(0), ratios.get(ratios.size() / 2), ratios.get(ratios.size() - 1));
    }

    private void printDetails(PrintStream out, String policy) {
        List<LoadReport> mine = of(policy);
        StringBuilder line = new StringBuilder("  " + policy + ":");
        for (StreamReport stream : mine.get(0).getStreams()) {
            double attained = median(mine, r -> stream(r, stream).getAttainment());
            line.append(String.format(" %s/%s %.3f", stream.getPipeline(), stream.getWorkspace(), attained));
            if (stream.getFirstTokenP95Ms() > 0) {
                double first = median(mine, r -> stream(r, stream).getFirstTokenP95Ms());
                double between = median(mine, r -> stream(r, stream).getBetweenTokensP95Ms());
                line.append(String.format(" (first token p95 %.0f ms, between %.1f ms)", first, between));
            }
        }
        out.println(line);
        Map<String, Long> reasons = new TreeMap<>();
        for (LoadReport report : mine) {
            for (ReasonCount count : report.getReasons()) {
                reasons.merge(count.getReason(), count.getCount(), Long::sum);
            }
        }
        if (!reasons.isEmpty()) {
            out.println("    ended otherwise: " + reasons);
        }
        out.println("    ms by stage: " + stageCosts(mine.get(0)));
    }

    private static String stageCosts(LoadReport report) {
        List<String> parts = new ArrayList<>();
        for (StageReport stage : report.getStages()) {
            parts.add(String.format("%s/%s %.1f", stage.getPipeline(), stage.getStage(), stage.getRunMsPerAttained()));
        }
        return String.join(", ", parts);
    }

    private static StreamReport stream(LoadReport report, StreamReport like) {
        return report.getStreams().stream()
                .filter(s -> s.getPipeline().equals(like.getPipeline())
                        && s.getWorkspace().equals(like.getWorkspace()))
                .findFirst()
                .orElse(like);
    }

    private static double runMsPerAttained(LoadReport report) {
        long runMs =
                report.getStages().stream().mapToLong(StageReport::getRunMs).sum();
        return report.getTotal().getAttained() == 0
                ? 0
                : (double) runMs / report.getTotal().getAttained();
    }

    static double wastedPercent(LoadReport report) {
        long runMs =
                report.getStages().stream().mapToLong(StageReport::getRunMs).sum();
        long wastedMs =
                report.getStages().stream().mapToLong(StageReport::getWastedMs).sum();
        return runMs == 0 ? 0 : 100.0 * wastedMs / runMs;
    }

    static double median(List<LoadReport> reports, ToDoubleFunction<LoadReport> value) {
        double[] values = reports.stream().mapToDouble(value).sorted().toArray();
        return values[values.length / 2];
    }

    List<String> policies() {
        return policies;
    }

    /** Returns the attainment of each run of a policy. */
    List<Double> attainments(String policy) {
        return of(policy).stream().map(r -> r.getTotal().getAttainment()).toList();
    }

    /** Returns the 95th percentile of each run of a policy, in ms. */
    List<Double> p95Ms(String policy) {
        return of(policy).stream().map(r -> r.getTotal().getP95Ms()).toList();
    }
}
