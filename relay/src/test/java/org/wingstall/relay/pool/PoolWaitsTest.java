package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the waits that a pool reports, and how long other boxes count them. */
public class PoolWaitsTest {
    private long nowMs;
    private PoolWaitTable table;

    @BeforeMethod
    public void create() {
        nowMs = 0;
        table = new PoolWaitTable(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    /** Groups of four pieces that wait, their rank, the asked rank, and the wait of a group that arrives now. */
    @DataProvider
    public Object[][] queues() {
        return new Object[][] {
            {0, 0, 0, 0L},
            {2, 0, 0, 0L},
            {8, 0, 0, 800L},
            {8, 1, 0, 0L},
            {8, 0, 1, 800L},
        };
    }

    /** Guards against waits of a busy pool that keeps up, and against queues that a more urgent rank overtakes. */
    @Test(dataProvider = "queues")
    public void onlyQueuesOfMoreThanACallCountAndOnlyThoseAhead(int groups, int rank, int asked, long waitMs) {
        List<PieceGroup> waiting = IntStream.range(0, groups)
                .mapToObj(i -> PieceGroups.group(rank, 5000, 4))
                .toList();
        PoolForecast forecast = new PoolForecast(List.of(0L, 0L), 8, pieces -> 400);
        assertEquals(PoolWaits.forecastMs(waiting, asked, forecast, 0), waitMs);
    }

    /** Guards against refusals because of a queue that ended, and against waits of another service or rank. */
    @Test
    public void reportedWaitCountsForASecond() {
        table.record("one", 1, 900);
        assertEquals(table.waitMs("one", 1), 900);
        assertEquals(table.waitMs("one", 0), 0);
        assertEquals(table.waitMs("two", 1), 0);
        nowMs = PoolWaitTable.MAX_AGE_MS - 1;
        assertEquals(table.waitMs("one", 1), 900);
        nowMs = PoolWaitTable.MAX_AGE_MS;
        assertEquals(table.waitMs("one", 1), 0);
    }

    /** Guards against a wait that stays after the coordinator has reported that there is none. */
    @Test
    public void reportWithoutAWaitEndsIt() {
        table.record("one", 1, 900);
        table.record("one", 1, 0);
        assertEquals(table.waitMs("one", 1), 0);
    }
}
