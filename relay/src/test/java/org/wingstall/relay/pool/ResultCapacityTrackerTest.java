package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.relay.config.PoolSpec;

/** Checks that capacity is reserved from the start of a call until its result is freed or expires. */
public class ResultCapacityTrackerTest {
    private static final double CAPACITY_BYTES = 100;

    private long nowMs;
    private ResultCapacityTracker capacity;

    @BeforeMethod
    public void create() {
        nowMs = 0;
        capacity = new ResultCapacityTracker(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    private double freeBytes() {
        return capacity.freeBytes("e", CAPACITY_BYTES);
    }

    @Test
    public void capacityIsReleasedOnceHoweverAResultEnds() {
        capacity.reserve("e", 30);
        capacity.reserve("e", 10);
        capacity.release("e", 10);
        capacity.stored("e", 10, "one", 4000);
        capacity.stored("e", 20, "two", 4000);
        assertEquals(freeBytes(), 70.0);
        capacity.freed("one");
        capacity.freed("one");
        assertEquals(freeBytes(), 80.0);
        nowMs = 4000;
        assertEquals(freeBytes(), 100.0);
        capacity.freed("two");
        assertEquals(freeBytes(), 100.0);
    }

    /**
     * A new coordinator starts with an empty count, and learns of earlier results only when an endpoint rejects a call.
     */
    @Test
    public void endpointWithoutCapacityCountsAsFullForALimitedTime() {
        capacity.markFull("e", 1);
        assertEquals(freeBytes(), 0.0);
        assertEquals(capacity.freeBytes("other", CAPACITY_BYTES), CAPACITY_BYTES);
        nowMs = 299;
        assertEquals(freeBytes(), 0.0);
        nowMs = 300;
        assertEquals(freeBytes(), CAPACITY_BYTES);
    }

    /** After a restart of all boxes, large results from before the restart also blocked calls with small results. */
    @Test
    public void smallResultsStillFitAtAnEndpointThatRejectedALargeOne() {
        capacity.markFull("e", 40);
        assertEquals(freeBytes(), 39.0);
    }

    @Test
    public void uncountedResultsTakeCapacityUntilTheyExpire() {
        PoolSpec spec = new PoolSpec(1, 2, 7, 200, 24, CAPACITY_BYTES, 4000);
        assertEquals(capacity.recordInitialFreeBytes("e", spec, 30), 70.0);
        capacity.reserve("e", 10);
        assertEquals(freeBytes(), 20.0);
        assertEquals(capacity.capacityAtMs("e", CAPACITY_BYTES, 25), 0);
        assertEquals(capacity.capacityAtMs("e", CAPACITY_BYTES, 40), 4000);
        nowMs = 1000;
        assertEquals(capacity.recordFreeBytes("e", spec, 60), 30.0);
        assertEquals(freeBytes(), 60.0);
        nowMs = 4000;
        assertEquals(freeBytes(), 90.0);
        assertEquals(capacity.capacityAtMs("e", CAPACITY_BYTES, 40), 4000);
    }

    /**
     * Reports lag by some hundred ms. Results that they still included were taken for uncounted ones, so pools stayed
     * empty and 0.30 of the requests of a calm day were refused.
     */
    @Test
    public void laggingReportDoesNotCountResultsTwice() {
        PoolSpec spec = new PoolSpec(1, 2, 7, 200, 24, CAPACITY_BYTES, 4000);
        capacity.recordInitialFreeBytes("e", spec, 100);
        capacity.reserve("e", 60);
        capacity.release("e", 60);
        assertEquals(capacity.recordFreeBytes("e", spec, 40), 0.0);
        assertEquals(freeBytes(), CAPACITY_BYTES);
    }
}
