package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RendezvousCoordinatorSelectorTest {
    private static final List<String> BOXES = List.of("a", "b", "c", "hub-1", "hub-2");
    private static final Set<String> HUBS = Set.of("hub-1", "hub-2");

    private static String coordinator(String self, List<String> reachable, Set<String> linked) {
        return coordinator(self, reachable, linked, HUBS);
    }

    private static String coordinator(String self, List<String> reachable, Set<String> linked, Set<String> reaching) {
        return new RendezvousCoordinatorSelector(
                        self,
                        () -> reachable,
                        linked::contains,
                        HUBS::contains,
                        (box, service) -> reaching.contains(box))
                .coordinatorOf("pay-ledger");
    }

    private static List<String> without(String box) {
        return BOXES.stream().filter(other -> !other.equals(box)).toList();
    }

    @Test
    public void allBoxesSelectTheSameHub() {
        Set<String> selected = new HashSet<>();
        for (String box : BOXES) {
            String coordinator = coordinator(box, without(box), Set.copyOf(BOXES));
            selected.add(coordinator == null ? box : coordinator);
        }
        assertEquals(selected.size(), 1);
        assertEquals(HUBS.containsAll(selected), true);
    }

    @Test
    public void boxIsItsOwnCoordinatorWhileNoHubIsLinked() {
        assertNull(coordinator("a", without("a"), Set.of("b", "c")));
    }

    @Test
    public void unreachableHubIsNotSelected() {
        assertEquals(coordinator("a", List.of("b", "hub-2"), Set.copyOf(BOXES)), "hub-2");
    }

    @DataProvider
    public Object[][] reachingHubs() {
        return new Object[][] {{Set.of("hub-1"), "hub-1"}, {Set.of("hub-2"), "hub-2"}};
    }

    /** A hub without links to the endpoints coordinated their service, and refused the work of all boxes. */
    @Test(dataProvider = "reachingHubs")
    public void hubThatDoesNotReachTheEndpointsIsNotSelected(Set<String> reaching, String expected) {
        for (String box : BOXES) {
            String coordinator = coordinator(box, without(box), Set.copyOf(BOXES), reaching);
            assertEquals(coordinator == null ? box : coordinator, expected);
        }
    }

    @Test
    public void allBoxesSelectTheSameHubWhileNoneReachesTheEndpoints() {
        assertEquals(
                coordinator("a", without("a"), Set.copyOf(BOXES), Set.of()),
                coordinator("b", without("b"), Set.copyOf(BOXES)));
    }
}
