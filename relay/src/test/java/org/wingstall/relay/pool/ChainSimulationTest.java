package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.answer.RetryTime;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.pool.ChainSimulation.Counts;
import org.wingstall.relay.pool.ChainSimulation.Kind;
import org.wingstall.relay.pool.ChainSimulation.Policy;
import org.wingstall.relay.pool.ChainSimulation.PoolSize;
import org.wingstall.relay.pool.ChainSimulation.Setup;
import org.wingstall.relay.pool.PoolSimulation.Burst;

/** Compares admission over the chain and scheduled retries with the former code and with other ways, under bursts. */
public class ChainSimulationTest {
    private static final int SEEDS = 10;
    private static final double MB = 1e6;

    private static final PoolSize BOTTLENECK = new PoolSize(13, new PoolSpec(1, 2, 8, 200, 21, 20 * MB, 4000));
    private static final PoolSize SECOND = new PoolSize(11, new PoolSpec(1, 2, 32, 200, 5.3, 20 * MB, 4000));
    private static final PoolSize THIRD = new PoolSize(13, new PoolSpec(1, 2, 47, 200, 3.7, 20 * MB, 4000));

    private static final Policy BEFORE = new Policy("before", false, standardWith(RetryTimes.UNIFORM));
    private static final Policy SCHEDULED = new Policy("scheduled", true, PoolPolicies.STANDARD);

    /** Tells every caller the longest time that it waits. */
    private static final Policy LONGEST = new Policy(
            "longest",
            true,
            standardWith((rejected, context, nowMs) ->
                    RetryTime.scheduled((rejected.group().urgency().callerDeadlineAtMs() - nowMs) / 3)));

    private static PoolPolicies standardWith(RetryTimes retryTimes) {
        PoolPolicies standard = PoolPolicies.STANDARD;
        return new PoolPolicies(standard.order(), standard.admission(), standard.planner(), () -> retryTimes);
    }

    private static Setup setup(List<PoolSize> pools, long deadlineMs, Burst... bursts) {
        List<Kind> kinds =
                List.of(new Kind("first", 0, 70, 2, 1700, deadlineMs), new Kind("second", 1, 35, 2, 1700, deadlineMs));
        return new Setup(pools, kinds, List.of(bursts), 24_000);
    }

    @DataProvider
    public Object[][] loads() {
        Burst first = new Burst("first", 2.5, 6000, 12_000);
        Burst second = new Burst("second", 2.5, 9000, 15_000);
        List<PoolSize> one = List.of(BOTTLENECK);
        List<PoolSize> chain = List.of(SECOND, BOTTLENECK, THIRD);
        return new Object[][] {
            {"chain, one burst", setup(chain, 20_000, first)},
            {"burst, deadline 20 s", setup(one, 20_000, first)},
            {"burst, deadline 6 s", setup(one, 6000, first)},
            {"two bursts that overlap", setup(one, 20_000, first, second)},
            {"chain with a bottleneck in the second place", setup(chain, 20_000, first, second)},
        };
    }

    private static Counts run(Setup setup, Policy policy) {
        Counts sum = new Counts();
        for (int seed = 1; seed <= SEEDS; seed++) {
            Counts counts = new ChainSimulation(setup, policy, seed).run();
            sum.requests += counts.requests;
            sum.inTime += counts.inTime;
            sum.inTimeAtRetry += counts.inTimeAtRetry;
            sum.late += counts.late;
            sum.refusedOnce += counts.refusedOnce;
            sum.refusedTwice += counts.refusedTwice;
            sum.expired += counts.expired;
            sum.returnWaitMs += counts.returnWaitMs;
        }
        return sum;
    }

    /** Guards against retry times and refusals that serve fewer callers well than the former ones. */
    @Test(dataProvider = "loads")
    public void callersThatReturnAsScheduledAreServedBetterThanBefore(String load, Setup setup) {
        Counts before = run(setup, BEFORE);
        Counts after = run(setup, SCHEDULED);
        Counts longest = run(setup, LONGEST);
        String figures = load + "\n  before: " + before + "\n  after: " + after + "\n  longest: " + longest;
        assertTrue(after.value() >= before.value(), figures);
        assertTrue(after.refusedTwice <= before.refusedTwice, figures);
    }

    /** Guards against callers that wait for the maximum although the overload is short. */
    @Test
    public void callersReturnEarlierAfterAShortBurstThanAtTheMaximum() {
        Setup setup = setup(List.of(BOTTLENECK), 60_000, new Burst("first", 4, 6000, 8000));
        Counts before = run(setup, BEFORE);
        Counts after = run(setup, SCHEDULED);
        Counts longest = run(setup, LONGEST);
        String figures = "\n  before: " + before + "\n  after: " + after + "\n  longest: " + longest;
        assertTrue(after.value() >= before.value(), figures);
        assertTrue(after.meanReturnWaitMs() < longest.meanReturnWaitMs(), figures);
    }

    /** Guards against refusals and changes of order while no pool is overloaded. */
    @Test
    public void nothingChangesWithoutOverload() {
        for (List<PoolSize> pools : List.of(List.of(BOTTLENECK), List.of(SECOND, BOTTLENECK, THIRD))) {
            Setup calm = setup(pools, 20_000);
            Counts after = run(calm, SCHEDULED);
            assertEquals(after.refusedOnce, 0, after.toString());
            assertEquals(after.toString(), run(calm, BEFORE).toString());
        }
    }
}
