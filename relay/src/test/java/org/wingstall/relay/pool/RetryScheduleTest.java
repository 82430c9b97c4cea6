package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.answer.RetryTime;
import org.wingstall.relay.wire.Piece;

/** Checks that callers are told to return at the rate at which capacity becomes free, and no later than they wait. */
public class RetryScheduleTest {
    private static final long CALLER_MS = 12_000;
    private static final long THIRD_MS = 4000;

    private RetrySchedule schedule;

    @BeforeMethod
    public void create() {
        schedule = new RetrySchedule();
    }

    private long reserve(long nowMs, long earliestMs, long maxMs, double workMs) {
        return schedule.reserve(nowMs, earliestMs, maxMs, workMs, inMs -> 100);
    }

    /** Guards against callers that return together although each step has capacity for two. */
    @Test
    public void callersFillOneStepAfterTheOther() {
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            times.add(reserve(0, 250, 3000, 50));
        }
        assertEquals(times, List.of(300L, 300L, 400L, 400L, 500L));
    }

    /** Guards against a group that is larger than a step and takes the capacity of that step only. */
    @Test
    public void largeGroupTakesTheFollowingStepsAsWell() {
        assertEquals(reserve(0, 0, 3000, 250), 0);
        assertEquals(reserve(0, 0, 3000, 50), 200);
        assertEquals(reserve(0, 0, 3000, 50), 300);
    }

    /** Guards against times beyond those that callers wait. */
    @Test
    public void callersWithoutAStepGetTheMaximum() {
        for (int i = 0; i < 5; i++) {
            reserve(0, 0, 500, 100);
        }
        assertEquals(reserve(0, 0, 500, 100), 500);
        assertEquals(reserve(0, 900, 500, 1), 500);
    }

    /** Guards against steps that stay reserved after the schedule has gone round. */
    @Test
    public void pastStepsAreFreeAgain() {
        reserve(0, 0, 3000, 100);
        assertEquals(reserve(0, 0, 3000, 100), 100);
        assertEquals(reserve(30_000, 0, 3000, 100), 0);
        assertEquals(reserve(90_050, 0, 3000, 100), 50);
    }

    /** Load, usual load, wait of later stages, and the bounds of the retry time, in ms. */
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {0.5, 0.5, 0, 400, 400},
            {1.5, 0.5, 0, THIRD_MS, THIRD_MS},
            {1.1, 0.5, 0, 1000, 1300},
            {0.5, 0.5, 300, THIRD_MS, THIRD_MS},
        };
    }

    /** Guards against retries during a burst, and beyond a third of the caller's time. */
    @Test(dataProvider = "loads")
    public void retryTimeFollowsTheExpectedLoad(
            double load, double usualLoad, long laterWaitMs, long minMs, long maxMs) {
        PoolForecast forecast = new PoolForecast(List.of(0L, 0L), 8, pieces -> 200 + 21 * pieces);
        AdmissionContext context = new AdmissionContext(forecast, group -> 0, load, usualLoad);
        Urgency urgency = new Urgency(0, 1700, 2550, CALLER_MS, laterWaitMs);
        PieceTask task = new PieceTask(
                new Piece("r", 0, 0, "key", List.of(), "key"),
                urgency,
                new PieceTask.Placement("", 0, 0),
                (ended, outcome) -> {});
        PieceGroup group = new PieceGroup(List.of(task), 0, 221, false);
        RetryTime time = schedule.retryTime(new PoolAdmission.RejectedGroup(group, 2000, 400), context, 0);
        assertTrue(time.scheduled());
        assertTrue(minMs <= time.afterMs() && time.afterMs() <= maxMs, time.toString());
    }
}
