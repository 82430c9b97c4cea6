package org.wingstall.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.wingstall.schema.caller.Answer;
import org.wingstall.schema.caller.StageCost;
import org.wingstall.schema.load.LoadReport;
import org.wingstall.schema.load.ReasonCount;
import org.wingstall.schema.load.Scenario;
import org.wingstall.schema.load.StageReport;
import org.wingstall.schema.load.Stream;
import org.wingstall.schema.load.StreamReport;

/** Counts what the requests of a run got. */
final class Tally {
    private static final double MICROS = 1000;

    private final Scenario scenario;
    private final Map<String, Counts> streams = new LinkedHashMap<>();
    private final Counts total = new Counts("all", "all");
    private final Map<String, Long> reasons = new TreeMap<>();
    private final Map<String, StageCounts> stages = new TreeMap<>();

    private static final class Counts {
        private final String pipeline;
        private final String workspace;
        private final Histogram tookMicros = new Histogram(3);
        private final Histogram firstTokenMicros = new Histogram(3);
        private final Histogram betweenMicros = new Histogram(3);
        private long arrivals;
        private long attained;
        private long late;

        Counts(String pipeline, String workspace) {
            this.pipeline = pipeline;
            this.workspace = workspace;
        }

        StreamReport report() {
            return new StreamReport(
                    pipeline,
                    workspace,
                    arrivals,
                    attained,
                    late,
                    arrivals == 0 ? 0 : (double) attained / arrivals,
                    tookMicros.getValueAtPercentile(50) / MICROS,
                    tookMicros.getValueAtPercentile(95) / MICROS,
                    tookMicros.getValueAtPercentile(99) / MICROS,
                    firstTokenMicros.getValueAtPercentile(95) / MICROS,
                    betweenMicros.getValueAtPercentile(95) / MICROS);
        }
    }

    private static final class StageCounts {
        private final String pipeline;
        private final String stage;
        private long calls;
        private long runMs;
        private long wastedMs;
        private long tokens;
        private long attained;
        private long attainedTokens;

        StageCounts(String pipeline, String stage) {
            this.pipeline = pipeline;
            this.stage = stage;
        }
    }

    Tally(Scenario scenario) {
        this.scenario = scenario;
    }

    synchronized void add(Stream stream, CallerExchange exchange) {
        String key = stream.getPipeline() + "/" + stream.getWorkspace();
        Counts counts = streams.computeIfAbsent(key, name -> new Counts(stream.getPipeline(), stream.getWorkspace()));
        Answer answer = exchange.answer().orElse(null);
        boolean complete = answer != null && answer.getOutcome() == Answer.Outcome.COMPLETE;
        boolean inTime = complete && exchange.tookMs() <= stream.getDeadlineMs();
        for (Counts each : List.of(counts, total)) {
            count(each, exchange, complete, inTime);
        }
        if (answer == null) {
            reasons.merge("no-answer/connection", 1L, Long::sum);
        } else if (!complete) {
            reasons.merge(answer.getOutcome().value() + "/" + answer.getReason(), 1L, Long::sum);
        }
        if (answer != null) {
            answer.getStages().forEach(cost -> addStage(stream.getPipeline(), cost, inTime));
        }
    }

    private static void count(Counts counts, CallerExchange exchange, boolean complete, boolean inTime) {
        counts.arrivals++;
        if (!complete) {
            return;
        }
        counts.attained += inTime ? 1 : 0;
        counts.late += inTime ? 0 : 1;
        counts.tookMicros.recordValue((long) (exchange.tookMs() * MICROS));
        if (exchange.firstTokenMs() > 0) {
            counts.firstTokenMicros.recordValue((long) (exchange.firstTokenMs() * MICROS));
            exchange.betweenTokensMs().forEach(ms -> counts.betweenMicros.recordValue((long) (ms * MICROS)));
        }
    }

    private void addStage(String pipeline, StageCost cost, boolean inTime) {
        String key = pipeline + "/" + cost.getStage();
        StageCounts counts = stages.computeIfAbsent(key, name -> new StageCounts(pipeline, cost.getStage()));
        counts.calls += cost.getAttempts();
        counts.runMs += cost.getRunMs();
        counts.wastedMs += inTime ? cost.getWastedMs() : cost.getRunMs();
        counts.tokens += cost.getTokens();
        counts.attained += inTime ? 1 : 0;
        counts.attainedTokens += inTime ? cost.getTokens() : 0;
    }

    synchronized LoadReport report(String policy, long seed) {
        List<ReasonCount> reasonCounts = new ArrayList<>();
        reasons.forEach((key, count) -> {
            int slash = key.indexOf('/');
            reasonCounts.add(new ReasonCount(key.substring(0, slash), key.substring(slash + 1), count));
        });
        List<StageReport> stageReports = new ArrayList<>();
        for (StageCounts counts : stages.values()) {
            double perAttained = counts.attained == 0 ? 0 : (double) counts.runMs / counts.attained;
            stageReports.add(new StageReport(
                    counts.pipeline,
                    counts.stage,
                    counts.calls,
                    counts.runMs,
                    counts.wastedMs,
                    counts.tokens,
                    perAttained,
                    counts.attainedTokens));
        }
        List<StreamReport> streamReports =
                streams.values().stream().map(Counts::report).toList();
        return new LoadReport(
                scenario.getName(), policy, seed, total.report(), streamReports, reasonCounts, stageReports);
    }
}
