package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.pool.CallPlanner.EndpointCapacity;
import org.wingstall.relay.pool.CallPlanner.Pace;
import org.wingstall.relay.wire.Piece;

/** Checks when a slow endpoint is used. A call for four pieces takes 296 ms at a normal endpoint. */
public class SlowEndpointUseTest {
    private static final PoolSpec SPEC = new PoolSpec(1, 2, 7, 200, 24, 100, 4000);
    private static final int PIECES = 4;

    private static PieceGroup group(long targetAtMs, long deadlineAtMs) {
        List<PieceTask> tasks = new ArrayList<>();
        for (int i = 0; i < PIECES; i++) {
            tasks.add(new PieceTask(
                    new Piece("request", 0, i, "key", List.of(), "key"),
                    new Urgency(1, targetAtMs, deadlineAtMs),
                    new PieceTask.Placement("", 1, 0),
                    (task, outcome) -> {}));
        }
        return new PieceGroup(tasks, 0, SPEC.callMs(PIECES), false);
    }

    private static EndpointCapacity slow(double slowdown, long untestedMs) {
        return new EndpointCapacity("slow", "east", 1, 100, 0, new Pace(slowdown, List.of(0L), untestedMs));
    }

    private static EndpointCapacity normal(long freeAtMs) {
        return new EndpointCapacity("normal", "east", freeAtMs == 0 ? 1 : 0, 100, 0, new Pace(1, List.of(freeAtMs), 0));
    }

    private static String chosen(PieceGroup group, EndpointCapacity... endpoints) {
        return new WholeGroupPlanner()
                .planNext(List.of(group), List.of(endpoints), SPEC, 0)
                .map(call -> call.endpoint().endpointId())
                .orElse("waits");
    }

    /** When the normal endpoint is free, the target and deadline of the group, the slowdown, and what is chosen. */
    @DataProvider
    public Object[][] groups() {
        return new Object[][] {
            {"both free", 0, 1100, 9000, 5, "normal"},
            {"in time at the normal one", 300, 1100, 9000, 5, "waits"},
            {"in time at the normal one only just", 804, 1100, 9000, 5, "waits"},
            {"late at the normal one", 805, 1100, 9000, 5, "slow"},
            {"in time at the normal one, earlier at the slow one", 700, 1100, 9000, 2, "waits"},
            {"past its deadline at the slow one", 900, 1100, 1300, 5, "waits"},
            {"past its deadline anyway", 1200, 1100, 1300, 5, "slow"},
        };
    }

    @Test(dataProvider = "groups")
    public void groupWaitsOnlyIfItIsInTimeElsewhere(
            String name, long freeAtMs, long targetAtMs, long deadlineAtMs, double slowdown, String expected) {
        assertEquals(chosen(group(targetAtMs, deadlineAtMs), normal(freeAtMs), slow(slowdown, 0)), expected, name);
    }

    @Test
    public void slowEndpointIsUsedWithoutAnother() {
        assertEquals(chosen(group(1100, 9000), slow(5, 0)), "slow");
    }

    /** Time since the last call of the slow endpoint, target of the group, and the endpoint that it is sent to. */
    @DataProvider
    public Object[][] trials() {
        return new Object[][] {
            {999, 4000, "normal"},
            {1000, 4000, "slow"},
            {1000, 1100, "normal"},
            {1499, 1100, "normal"},
            {1500, 1100, "slow"},
            {1500, 200, "normal"},
        };
    }

    /** Guards against an endpoint that is left out after it recovered, and a trial that costs an urgent group. */
    @Test(dataProvider = "trials")
    public void endpointThatIsLeftOutIsTriedWithAGroupThatCanWait(long untestedMs, long targetAtMs, String expected) {
        assertEquals(chosen(group(targetAtMs, 9000), normal(0), slow(5, untestedMs)), expected);
    }

    @Test
    public void trialTakesTheGroupThatCanWaitLongest() {
        PieceGroup urgent = group(1100, 9000);
        PieceGroup patient = group(1300, 9000);
        CallPlanner.PlannedCall call = new WholeGroupPlanner()
                .planNext(List.of(patient, urgent), List.of(normal(0), slow(5, 1500)), SPEC, 0)
                .orElseThrow();
        assertEquals(call.endpoint().endpointId(), "slow");
        assertEquals(call.parts(), List.of(new CallPlanner.Part(patient, PIECES)));
    }

    /** Ends of three full calls on a normal slot and on one that takes five times as long. */
    @Test
    public void forecastSendsCallsWhereTheyEndFirst() {
        PoolForecast forecast = new PoolForecast(List.of(0L, 0L), 7, pieces -> 100, List.of(1.0, 5.0));
        assertEquals(forecast.endsAtMs(List.of(7, 7, 7, 7, 7)), List.of(100L, 200L, 300L, 400L, 500L));
        assertEquals(forecast.usualSlots(), 1.2);
    }
}
