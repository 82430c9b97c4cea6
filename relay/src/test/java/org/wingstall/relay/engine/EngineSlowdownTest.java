package org.wingstall.relay.engine;

import static org.testng.Assert.assertEquals;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.endpoint.RelayEndpoint;
import org.wingstall.relay.endpoint.RelayEndpoints;
import org.wingstall.relay.wire.RelayRequest.PromptPart;
import org.wingstall.schema.platform.Member;

/** Tests that the predictions for engines of different speed approach the times that they actually take. */
public class EngineSlowdownTest {
    private static final double DECODE_MS = 60;
    private static final double MS_PER_TOKEN = 0.02;
    private static final int ROUND_MS = 400;

    /** Time from a first answer until the coordinator knows of it, in ms. */
    private static final int REPORT_MS = 15;

    private long nowMs;
    private RelayEndpoints endpoints;
    private EngineLoadBalancer loadBalancer;
    private final Deque<Report> reports = new ArrayDeque<>();
    private int prompts;

    private record Report(RelayEndpoint engine, EngineEstimate estimate, long tookMs, long atMs) {}

    @BeforeMethod
    public void create() {
        nowMs = 0;
        reports.clear();
        endpoints = new RelayEndpoints(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        loadBalancer = new EngineLoadBalancer(() -> TimeUnit.MILLISECONDS.toNanos(nowMs), engine -> false);
    }

    private void list(Map<String, Double> factors) {
        endpoints.applyList(factors.keySet().stream()
                .sorted()
                .map(EngineSlowdownTest::engine)
                .toList());
    }

    private static Member engine(String id) {
        return new Member(id, Member.Kind.ENDPOINT, "east", "127.0.0.1:9", "llm", "v1", Member.State.LIVE, 1, 64, 0);
    }

    private EngineEstimate ask(RelayEndpoint engine, int tokens) {
        Prompt prompt = Prompt.of(List.of(new PromptPart("own" + prompts++, tokens)));
        return loadBalancer
                .choose(new EngineLoadBalancer.SelectionContext(
                        List.of(engine), prompt, InputLocation.NONE, 1000, Optional.empty()))
                .estimate();
    }

    private static long actualMs(double factor, int tokens) {
        return Math.round(factor * (DECODE_MS + MS_PER_TOKEN * tokens));
    }

    /** Sends one prompt to each engine per round, of two sizes in turn; the answers are reported with a delay. */
    private void answer(Map<String, Double> factors, int rounds) {
        for (int round = 0; round < rounds; round++) {
            int tokens = round % 2 == 0 ? 2400 : 700;
            factors.forEach((id, factor) -> {
                RelayEndpoint engine = endpoints.find(id).orElseThrow();
                EngineEstimate estimate = ask(engine, tokens);
                long tookMs = estimate.waitMs() + actualMs(factor, tokens);
                reports.add(new Report(engine, estimate, tookMs, nowMs + tookMs + REPORT_MS));
            });
            nowMs += ROUND_MS;
            reports.removeIf(report -> {
                boolean due = report.atMs() <= nowMs;
                if (due) {
                    loadBalancer.recordFirstAnswer(report.engine(), report.estimate(), report.tookMs());
                }
                return due;
            });
        }
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {"one slow engine", Map.of("a", 1.0, "b", 1.0, "c", 1.0, "d", 4.0)},
            {"one fast engine", Map.of("a", 1.0, "b", 1.0, "c", 1.0, "d", 0.4)},
            {"two classes", Map.of("a", 1.43, "b", 1.43, "c", 0.59)},
            {"all slower than assumed", Map.of("a", 2.0, "b", 2.0, "c", 2.0)},
        };
    }

    /**
     * Guards against a slowdown that is measured against an estimate which already includes it: it converged to the
     * square root of the true ratio, and a fast engine was never known to be fast.
     */
    @Test(dataProvider = "fleets")
    public void predictionsApproachTheActualTimes(String fleet, Map<String, Double> factors) {
        list(factors);
        answer(factors, 100);
        nowMs += 10_000;
        factors.forEach((id, factor) -> {
            double actualMs = actualMs(factor, 2400);
            double ratio = ask(endpoints.find(id).orElseThrow(), 2400).firstAnswerMs() / actualMs;
            assertEquals(ratio, 1, 0.15, fleet + ", engine " + id + " of factor " + factor);
        });
    }
}
