package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.pool.PoolSimulation.Burst;
import org.wingstall.relay.pool.PoolSimulation.PoolSetup;
import org.wingstall.relay.pool.PoolSimulation.RequestKind;
import org.wingstall.relay.pool.PoolSimulation.Result;
import org.wingstall.relay.pool.PoolSimulation.SpeedModel;

/**
 * Compares ways to use endpoints that get slow for some seconds during a burst: all endpoints count as alike, slow ones
 * are left out, and each group is sent where it ends first.
 */
public class SlowEndpointSimulationTest {
    private static final long MB = 1_000_000;
    private static final int SEEDS = 5;
    private static final int ENDPOINTS = 13;
    private static final long SLOW_FROM_MS = 6000;
    private static final long SLOW_UNTIL_MS = 12_000;
    private static final PoolSpec SPEC = new PoolSpec(1, 2, 32, 200, 5.3, 15.75 * MB, 4000);

    /** Leaves out endpoints beyond a threshold, except for one call a second. */
    private static final CallPlanner LEAVE_OUT = new CallPlanner() {
        private static final double THRESHOLD = 2;
        private static final long TRIAL_AFTER_MS = 1000;

        @Override
        public Optional<PlannedCall> planNext(
                List<PieceGroup> inOrder, List<EndpointCapacity> endpoints, PoolSpec spec, long nowMs) {
            List<EndpointCapacity> fast = endpoints.stream()
                    .filter(one ->
                            one.pace().slowdown() <= THRESHOLD || one.pace().untestedMs() >= TRIAL_AFTER_MS)
                    .map(one -> new EndpointCapacity(
                            one.endpointId(), one.failureDomain(), one.freeSlots(), one.freeBytes(), one.load()))
                    .toList();
            return new WholeGroupPlanner().planNext(inOrder, fast, spec, nowMs);
        }
    };

    private enum Way {
        ALIKE(SpeedModel.ALIKE, PoolPolicies.STANDARD),
        LEFT_OUT(
                SpeedModel.BY_ENDPOINT,
                new PoolPolicies(GroupOrder.EARLIEST_TARGET, PoolAdmission.UNTIL_TARGET_UNDER_OVERLOAD, LEAVE_OUT)),
        EARLIEST_END(SpeedModel.BY_ENDPOINT, PoolPolicies.STANDARD);

        private final SpeedModel speeds;
        private final PoolPolicies policies;

        Way(SpeedModel speeds, PoolPolicies policies) {
            this.speeds = speeds;
            this.policies = policies;
        }
    }

    private record Played(PoolSetup setup, Way way) {}

    private final Map<Played, Figures> known = new HashMap<>();

    /** Sums over all kinds and seeds. */
    private record Figures(double value, int inTime, int late, int refused, int expired) {
        Figures plus(Result result) {
            int[] sums = new int[4];
            result.kinds().values().forEach(outcome -> {
                sums[0] += outcome.inTime();
                sums[1] += outcome.late();
                sums[2] += outcome.rejected();
                sums[3] += outcome.expired();
            });
            return new Figures(
                    value + result.value() / SEEDS,
                    inTime + sums[0],
                    late + sums[1],
                    refused + sums[2],
                    expired + sums[3]);
        }
    }

    private Figures figures(PoolSetup setup, Way way) {
        return known.computeIfAbsent(new Played(setup, way), played -> play(played.setup(), played.way()));
    }

    private static Figures play(PoolSetup setup, Way way) {
        Figures sum = new Figures(0, 0, 0, 0, 0);
        for (int seed = 1; seed <= SEEDS; seed++) {
            sum = sum.plus(new PoolSimulation(setup, way.policies, seed, way.speeds).run());
        }
        return sum;
    }

    private static PoolSetup setup(int slow, double slowdown, double share, double burst) {
        List<SimulatedEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            SimulatedEndpoint one = SimulatedEndpoint.healthy("e" + i, "domain" + i % 3);
            endpoints.add(i < slow ? one.slow(slowdown, SLOW_FROM_MS, SLOW_UNTIL_MS) : one);
        }
        List<RequestKind> kinds = List.of(
                new RequestKind("urgent", 0, 60 * share, 8, 8000, 1100, 4.7),
                new RequestKind("usual", 1, 30 * share, 4, 8000, 1500, 1.1),
                new RequestKind("bulk", 2, 25 * share, 12, 8000, 2500, 0.4));
        Burst urgent = new Burst("urgent", burst, SLOW_FROM_MS, SLOW_UNTIL_MS);
        return new PoolSetup(SPEC, endpoints, kinds, List.of(urgent), 0, 20_000, 200);
    }

    /** Number of slow endpoints, their slowdown, load of the pool relative to the usual one, and factor of the burst. */
    @DataProvider
    public Object[][] slowLoads() {
        return new Object[][] {
            {"a third slow in a burst", 4, 5.0, 1.0, 2.4},
            {"a third slow in a burst at high load", 4, 5.0, 1.3, 2.4},
            {"a third slow in a burst at low load", 4, 5.0, 0.6, 2.4},
            {"a third slow without a burst", 4, 5.0, 1.0, 1.0},
            {"a third at half of the speed in a burst", 4, 2.0, 1.0, 2.4},
            {"one slow in a burst", 1, 5.0, 1.0, 2.4},
        };
    }

    private String text(String load, PoolSetup setup) {
        return load + ": alike " + figures(setup, Way.ALIKE) + ", left out " + figures(setup, Way.LEFT_OUT)
                + ", earliest end " + figures(setup, Way.EARLIEST_END);
    }

    /** Guards against groups that wait at a slow endpoint while a normal one would have served them in time. */
    @Test(dataProvider = "slowLoads")
    public void earliestEndYieldsMoreValueThanAlikeEndpoints(
            String load, int slow, double slowdown, double share, double burst) {
        PoolSetup setup = setup(slow, slowdown, share, burst);
        String text = text(load, setup);
        Reporter.log(text, true);
        assertTrue(
                figures(setup, Way.EARLIEST_END).value()
                        > figures(setup, Way.ALIKE).value(),
                text);
        assertTrue(
                figures(setup, Way.EARLIEST_END).late()
                        < figures(setup, Way.ALIKE).late(),
                text);
    }

    /** Guards against a rule that is more complicated than a threshold and worse. */
    @Test(dataProvider = "slowLoads")
    public void earliestEndYieldsNoLessValueThanLeavingOut(
            String load, int slow, double slowdown, double share, double burst) {
        PoolSetup setup = setup(slow, slowdown, share, burst);
        assertTrue(
                figures(setup, Way.EARLIEST_END).value()
                        >= figures(setup, Way.LEFT_OUT).value(),
                text(load, setup));
    }

    /** Load of the pool relative to the usual one, and the factor of the burst. */
    @DataProvider
    public Object[][] alikeLoads() {
        return new Object[][] {{0.6, 1.0}, {1.0, 2.4}, {1.6, 2.4}};
    }

    /** Guards against decisions that change although no endpoint is slow. */
    @Test(dataProvider = "alikeLoads")
    public void alikeEndpointsAreUsedAsBefore(double share, double burst) {
        PoolSetup setup = setup(0, 1, share, burst);
        assertEquals(figures(setup, Way.EARLIEST_END), figures(setup, Way.ALIKE));
    }
}
