package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalDouble;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.config.PoolSpec;

/** Checks the slowdown factors that the durations of calls yield. */
public class EndpointSlowdownsTest {
    private static final double EXPECTED_MS = 300;
    private static final double TOLERANCE = 0.01;

    private final EndpointSlowdowns slowdowns = new EndpointSlowdowns();
    private long nowMs;

    private void call(String endpoint, double ratio) {
        nowMs += 10;
        slowdowns.recordCall(endpoint, ratio * EXPECTED_MS, EXPECTED_MS, nowMs);
    }

    private double slowdown(EndpointSlowdowns of, String endpoint) {
        return of.of(endpoint, OptionalDouble.empty(), nowMs);
    }

    /** Durations of an endpoint's calls relative to the estimate, and the factor after them. */
    @DataProvider
    public Object[][] calls() {
        return new Object[][] {
            {new double[] {}, 1},
            {new double[] {1.2, 0.9, 1.1}, 1},
            {new double[] {1.4}, 1},
            {new double[] {5}, 3},
            {new double[] {5, 5, 5, 5}, 4.75},
            {new double[] {5, 5, 1}, 1},
            {new double[] {100, 100, 100, 100, 100, 100, 100, 100, 100, 100}, 8},
            {new double[] {0.01}, 0.25},
        };
    }

    /** Guards against a single stall that leaves an endpoint out, and a recovery that takes several calls to show. */
    @Test(dataProvider = "calls")
    public void factorFollowsCalls(double[] ratios, double expected) {
        EndpointSlowdowns fresh = new EndpointSlowdowns();
        for (int i = 0; i < 5; i++) {
            fresh.recordCall("other" + i, EXPECTED_MS, EXPECTED_MS, nowMs);
        }
        for (double ratio : ratios) {
            fresh.recordCall("a", ratio * EXPECTED_MS, EXPECTED_MS, nowMs);
        }
        assertEquals(slowdown(fresh, "a"), expected, TOLERANCE);
    }

    /** Guards against a service whose endpoints all count as slow, so that its pool seems to have lost capacity. */
    @Test
    public void endpointsThatAreAllSlowerAreAlike() {
        for (int round = 0; round < 4; round++) {
            call("a", 2);
            call("b", 2.1);
            call("c", 1.9);
        }
        assertEquals(slowdown(slowdowns, "a"), 1.0);
        assertEquals(slowdown(slowdowns, "b"), 1.0);
    }

    /** What the endpoint states, and the factor that applies when its calls took as long as usual. */
    @DataProvider
    public Object[][] statements() {
        return new Object[][] {
            {OptionalDouble.empty(), 1},
            {OptionalDouble.of(1.1), 1},
            {OptionalDouble.of(5), 5},
            {OptionalDouble.of(90), 8}
        };
    }

    @Test(dataProvider = "statements")
    public void statementIsPreferred(OptionalDouble stated, double expected) {
        EndpointSlowdowns fresh = new EndpointSlowdowns();
        fresh.recordCall("a", EXPECTED_MS, EXPECTED_MS, nowMs);
        assertEquals(fresh.of("a", stated, nowMs), expected, TOLERANCE);
    }

    /** Guards against an endpoint that stays slow for good because it got no call. */
    @Test
    public void factorIsDroppedAfterTenSecondsWithoutACall() {
        EndpointSlowdowns fresh = new EndpointSlowdowns();
        fresh.recordCall("b", EXPECTED_MS, EXPECTED_MS, 0);
        fresh.recordCall("a", 5 * EXPECTED_MS, EXPECTED_MS, 0);
        assertTrue(fresh.of("a", OptionalDouble.empty(), 9_999) > 1);
        assertEquals(fresh.untestedMs("a", 9_999), 9_999);
        assertEquals(fresh.of("a", OptionalDouble.empty(), 10_000), 1.0);
    }

    /** Guards against an estimate of the service that rises with its slow endpoints, so that they seem to recover. */
    @Test
    public void slowEndpointDoesNotRaiseTheEstimateOfItsService() {
        PoolSpec spec = new PoolSpec(1, 2, 7, 200, 24, 100, 4000);
        CallTimeEstimator times = new CallTimeEstimator();
        for (int round = 0; round < 50; round++) {
            times.recordCall(spec, 4, spec.callMs(4), "a", round);
            times.recordCall(spec, 4, spec.callMs(4), "b", round);
            times.recordCall(spec, 4, 5 * spec.callMs(4), "c", round);
        }
        assertEquals(times.callMs(spec, 4), spec.callMs(4), 0.1 * spec.callMs(4));
        assertEquals(times.slowdowns().of("c", OptionalDouble.empty(), 50), 5, 0.5);
    }
}
