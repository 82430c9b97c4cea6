package org.wingstall.relay.engine;

import static org.testng.Assert.assertTrue;

import java.util.function.Function;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.engine.EngineSimulation.FleetSetup;
import org.wingstall.relay.engine.EngineSimulation.Result;

/** Compares the estimate of the engines' slowdown with simpler ones in a replayed load. */
public class EngineSimulationTest {
    private static final int ENGINES = 63;
    private static final int SEEDS = 3;

    /** The previous estimate: the ratio to a prediction that already includes the slowdown, and never below 1. */
    private static final class PreviousSlowdown implements EngineSlowdown {
        private double slowdown = 1;

        @Override
        public double factor(long nowMs) {
            return Math.max(1, slowdown);
        }

        @Override
        public double decodeFactor(long nowMs) {
            return 1;
        }

        @Override
        public double relativeToMean() {
            return slowdown;
        }

        @Override
        public double record(Sample sample, long nowMs) {
            slowdown += 0.15 * (Math.min(8, sample.tookMs() / Math.max(1, sample.predictedMs())) - slowdown);
            return sample.ownMs();
        }

        @Override
        public void retire() {}
    }

    /** An estimate with a single moving average over some tens of answers. */
    private static final class BaseOnly implements EngineSlowdown {
        private final SlowdownMean mean;
        private double base = 1;
        private double answers = 4;

        private BaseOnly(SlowdownMean mean) {
            this.mean = mean;
            mean.add(base);
        }

        @Override
        public double factor(long nowMs) {
            return Math.abs(base / mean.value() - 1) <= 0.1 ? mean.value() : base;
        }

        @Override
        public double decodeFactor(long nowMs) {
            return factor(nowMs);
        }

        @Override
        public double relativeToMean() {
            return base / mean.value();
        }

        @Override
        public double record(Sample sample, long nowMs) {
            double usualMs = sample.ownMs() / base;
            double ratio = Math.max(0.1, Math.min(8, sample.ownMs() / sample.expectedMs()));
            answers += sample.weight();
            double before = base;
            base += sample.weight() * Math.max(1.0 / 30, 1 / answers) * (ratio - base);
            mean.replace(before, base);
            return usualMs;
        }

        @Override
        public void retire() {
            mean.remove(base);
        }
    }

    private static Result mean(FleetSetup setup, Function<SlowdownMean, EngineSlowdown> slowdowns) {
        double[] within = new double[2];
        double p95Ms = 0;
        double busiest = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Result result = new EngineSimulation(setup, slowdowns, seed).run();
            within[0] += result.withinHalfTarget()[0] / SEEDS;
            within[1] += result.withinHalfTarget()[1] / SEEDS;
            p95Ms += result.p95Ms() / SEEDS;
            busiest += result.busiest() / SEEDS;
        }
        return new Result(within, p95Ms, busiest);
    }

    /** Fleet, and the largest loss of early first answers against the previous estimate. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {"uneven engines", FleetSetup.uneven(ENGINES), 0.0},
            {"equal engines", FleetSetup.equal(ENGINES), 0.002},
            {"equal engines with spikes", FleetSetup.equalWithSpikes(ENGINES), 0.002},
        };
    }

    /**
     * Guards against a choice that is worse than the previous one: where engines differ, it overloaded the slow ones;
     * where they are equal, noise in the answers must not tell them apart.
     */
    @Test(dataProvider = "fleets")
    public void noFewerFirstAnswersAreEarlyThanBefore(String fleet, FleetSetup setup, double largestLoss) {
        Result before = mean(setup, mean -> new PreviousSlowdown());
        Result now = mean(setup, TwoScaleSlowdown::new);
        Result baseOnly = mean(setup, BaseOnly::new);
        String figures = fleet + ": before " + before + "; now " + now + "; base only " + baseOnly;
        Reporter.log(figures, true);
        for (int target = 0; target < 2; target++) {
            assertTrue(now.withinHalfTarget()[target] >= before.withinHalfTarget()[target] - largestLoss, figures);
        }
        assertTrue(now.p95Ms() <= before.p95Ms() * (1 + 10 * largestLoss), figures);
    }
}
