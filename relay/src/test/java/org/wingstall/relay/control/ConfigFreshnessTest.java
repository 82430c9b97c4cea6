package org.wingstall.relay.control;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ConfigFreshnessTest {
    private long nowMs;
    private ConfigFreshness freshness;

    @BeforeMethod
    public void start() {
        nowMs = 10_000;
        freshness = new ConfigFreshness(() -> TimeUnit.MILLISECONDS.toNanos(nowMs), 2000);
    }

    @Test
    public void theAgeCountsFromTheNewestConfirmation() {
        nowMs += 700;
        freshness.confirmedByStore(nowMs);
        nowMs += 300;
        freshness.confirmedByPeer(100);
        assertEquals(freshness.ageMs(), 100);
        freshness.confirmedByPeer(250);
        assertEquals(freshness.ageMs(), 100);
    }

    /** Boxes that passed on what peers had told them would confirm each other without the store. */
    @Test
    public void onlyTheStoreCountsForWhatPeersAreTold() {
        assertEquals(freshness.storeAgeMs(), 0);
        freshness.confirmedByPeer(10);
        assertEquals(freshness.storeAgeMs(), 0);
        freshness.confirmedByStore(nowMs);
        assertEquals(freshness.storeAgeMs(), 1);
    }
}
