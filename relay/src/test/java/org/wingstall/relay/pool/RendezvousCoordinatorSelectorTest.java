package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

public class RendezvousCoordinatorSelectorTest {
    private static final List<String> BOXES = List.of("a", "b", "c", "hub-1", "hub-2");
    private static final Set<String> HUBS = Set.of("hub-1", "hub-2");

    private static String coordinator(String self, List<String> reachable, Set<String> linked) {
        return new RendezvousCoordinatorSelector(self, () -> reachable, linked::contains, HUBS::contains)
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
}
