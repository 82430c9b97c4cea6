package org.wingstall.relay.control;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.member.StoreVersion;
import org.wingstall.relay.config.Evacuations;

/** Tests that the evacuations of the latest store version are in force, whether they came from the store or a peer. */
public class EvacuationStateTest {
    private final List<Set<String>> told = new ArrayList<>();
    private EvacuationState state;
    private long nowMs;

    private static StoreVersion version(long number) {
        return new StoreVersion(1, number);
    }

    @BeforeMethod
    public void create() {
        told.clear();
        nowMs = 0;
        state = new EvacuationState(() -> TimeUnit.MILLISECONDS.toNanos(nowMs), told::add);
        state.updateIfNewer(new Evacuations(version(10), Set.of("east")), "store");
    }

    @DataProvider
    public Object[][] offers() {
        return new Object[][] {
            {"an older state that arrives late", 9L, Set.of(), Set.of("east")},
            {"another state as of the same version", 10L, Set.of("west"), Set.of("east")},
            {"a mark that was taken away", 11L, Set.of(), Set.of()},
            {"a second failure domain", 11L, Set.of("east", "west"), Set.of("east", "west")},
        };
    }

    @Test(dataProvider = "offers")
    public void onlyALaterVersionCounts(String what, long number, Set<String> offered, Set<String> inForce) {
        state.updateIfNewer(new Evacuations(version(number), offered), "peer");
        assertEquals(state.current().failureDomains(), inForce, what);
    }

    @Test
    public void nobodyIsToldOfALaterVersionThatSaysTheSame() {
        state.updateIfNewer(new Evacuations(version(12), Set.of("east")), "peer");
        assertEquals(told, List.of(Set.of("east")));
        assertEquals(state.current().asOfVersion(), version(12));
    }

    @DataProvider
    public Object[][] restores() {
        return new Object[][] {
            {"a mark that the copy lacks", 0, Set.of(), Set.of("east")},
            {"a mark that the copy lacks, in the end", 5000, Set.of(), Set.of()},
            {"a mark of the copy", 0, Set.of("west"), Set.of("east", "west")},
            {"a mark that was written again", 5000, Set.of("east"), Set.of("east")},
        };
    }

    /** A restored store has lower versions; its evacuations were dropped, or ended those that its copy lacked. */
    @Test(dataProvider = "restores")
    public void evacuationsHoldUntilOperatorsHaveWrittenThemAgain(
            String what, long afterMs, Set<String> offered, Set<String> inForce) {
        state.updateIfNewer(new Evacuations(new StoreVersion(2, 3), offered), "store");
        nowMs = afterMs;
        state.updateIfNewer(new Evacuations(new StoreVersion(2, 4), offered), "store");
        assertEquals(state.current().failureDomains(), inForce, what);
    }

    @Test
    public void evacuationsThatNobodyWritesAgainEndWithoutALaterVersion() {
        Evacuations restored = new Evacuations(new StoreVersion(2, 3), Set.of());
        state.updateIfNewer(restored, "store");
        assertEquals(state.current().failureDomains(), Set.of("east"));
        nowMs = 5000;
        state.updateIfNewer(restored, "store");
        assertEquals(state.current().failureDomains(), Set.of());
    }
}
