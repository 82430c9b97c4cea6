package org.wingstall.relay.control;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.config.Evacuations;

/** Tests that the evacuations of the latest store version are in force, whether they came from the store or a peer. */
public class EvacuationStateTest {
    private final List<Set<String>> told = new ArrayList<>();
    private EvacuationState state;

    @BeforeMethod
    public void create() {
        told.clear();
        state = new EvacuationState(told::add);
        state.updateIfNewer(new Evacuations(10, Set.of("east")), "store");
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
    public void onlyALaterVersionCounts(String what, long version, Set<String> offered, Set<String> inForce) {
        state.updateIfNewer(new Evacuations(version, offered), "peer");
        assertEquals(state.current().failureDomains(), inForce, what);
    }

    @Test
    public void nobodyIsToldOfALaterVersionThatSaysTheSame() {
        state.updateIfNewer(new Evacuations(12, Set.of("east")), "peer");
        assertEquals(told, List.of(Set.of("east")));
        assertEquals(state.current().asOfVersion(), 12);
    }
}
