package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Room is taken from the call on and comes back when a result is given up or dropped by its maker. */
public class RoomLedgerTest {
    private long nowMs;

    @Test
    public void roomComesBackOnceHoweverAResultEnds() {
        RoomLedger ledger = new RoomLedger(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        ledger.reserve("e", 30);
        ledger.reserve("e", 10);
        ledger.release("e", 10);
        ledger.made("e", 10, "one", 4000);
        ledger.made("e", 20, "two", 4000);
        assertEquals(ledger.usedBytes("e"), 30.0);
        ledger.freed("one");
        ledger.freed("one");
        assertEquals(ledger.usedBytes("e"), 20.0);
        nowMs = 4000;
        assertEquals(ledger.usedBytes("e"), 0.0);
        ledger.freed("two");
        assertEquals(ledger.usedBytes("e"), 0.0);
    }
}
