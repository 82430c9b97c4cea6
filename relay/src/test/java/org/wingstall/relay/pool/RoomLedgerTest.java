package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Room is taken from the call on and comes back when a result is given up or dropped by its maker. */
public class RoomLedgerTest {
    private static final double ROOM_BYTES = 100;

    private long nowMs;
    private RoomLedger ledger;

    @BeforeMethod
    public void create() {
        nowMs = 0;
        ledger = new RoomLedger(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    private double freeBytes() {
        return ledger.freeBytes("e", ROOM_BYTES);
    }

    @Test
    public void roomComesBackOnceHoweverAResultEnds() {
        ledger.reserve("e", 30);
        ledger.reserve("e", 10);
        ledger.release("e", 10);
        ledger.made("e", 10, "one", 4000);
        ledger.made("e", 20, "two", 4000);
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
        ledger.noRoom("e");
        assertEquals(freeBytes(), 0.0);
        assertEquals(ledger.freeBytes("other", ROOM_BYTES), ROOM_BYTES);
        nowMs = 299;
        assertEquals(freeBytes(), 0.0);
        nowMs = 300;
        assertEquals(freeBytes(), ROOM_BYTES);
    }
}
