package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wingstall.relay.config.PoolSpec;

/** Room is taken from the call on and comes back when a result is given up or dropped by its maker. */
public class ResultCapacityTrackerTest {
    private static final double ROOM_BYTES = 100;

    private long nowMs;
    private ResultCapacityTracker ledger;

    @BeforeMethod
    public void create() {
        nowMs = 0;
        ledger = new ResultCapacityTracker(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    private double freeBytes() {
        return ledger.freeBytes("e", ROOM_BYTES);
    }

    @Test
    public void roomComesBackOnceHoweverAResultEnds() {
        ledger.reserve("e", 30);
        ledger.reserve("e", 10);
        ledger.release("e", 10);
        ledger.stored("e", 10, "one", 4000);
        ledger.stored("e", 20, "two", 4000);
        assertEquals(freeBytes(), 70.0);
        ledger.freed("one");
        ledger.freed("one");
        assertEquals(freeBytes(), 80.0);
        nowMs = 4000;
        assertEquals(freeBytes(), 100.0);
        ledger.freed("two");
        assertEquals(freeBytes(), 100.0);
    }

    /** The count begins anew where another box begins to gather; results that stand already show by an answer only. */
    @Test
    public void anEndpointThatHadNoRoomCountsAsFullForAWhile() {
        ledger.markFull("e", 1);
        assertEquals(freeBytes(), 0.0);
        assertEquals(ledger.freeBytes("other", ROOM_BYTES), ROOM_BYTES);
        nowMs = 299;
        assertEquals(freeBytes(), 0.0);
        nowMs = 300;
        assertEquals(freeBytes(), ROOM_BYTES);
    }

    /** After a restart of all boxes, large results of former lives kept small ones from being made as well. */
    @Test
    public void smallResultsStillGoToAnEndpointThatHadNoRoomForALargeOne() {
        ledger.markFull("e", 40);
        assertEquals(freeBytes(), 39.0);
    }

    @Test
    public void resultsThatWereNotCountedTakeRoomUntilTheyLapse() {
        PoolSpec spec = new PoolSpec(1, 2, 7, 200, 24, ROOM_BYTES, 4000);
        assertEquals(ledger.recordInitialFreeBytes("e", spec, 30), 70.0);
        ledger.reserve("e", 10);
        assertEquals(freeBytes(), 20.0);
        assertEquals(ledger.capacityAtMs("e", ROOM_BYTES, 25), 0);
        assertEquals(ledger.capacityAtMs("e", ROOM_BYTES, 40), 4000);
        nowMs = 1000;
        assertEquals(ledger.recordFreeBytes("e", spec, 60), 30.0);
        assertEquals(freeBytes(), 60.0);
        nowMs = 4000;
        assertEquals(freeBytes(), 90.0);
        assertEquals(ledger.capacityAtMs("e", ROOM_BYTES, 40), 4000);
    }

    /** Reports lag by some hundred ms; what they took for uncounted kept pools empty, and 0.30 of a calm day was refused. */
    @Test
    public void aReportThatLagsDoesNotCountResultsTwice() {
        PoolSpec spec = new PoolSpec(1, 2, 7, 200, 24, ROOM_BYTES, 4000);
        ledger.recordInitialFreeBytes("e", spec, 100);
        ledger.reserve("e", 60);
        ledger.release("e", 60);
        assertEquals(ledger.recordFreeBytes("e", spec, 40), 0.0);
        assertEquals(freeBytes(), ROOM_BYTES);
    }
}
