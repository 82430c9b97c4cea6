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

    private static String gatherer(String self, List<String> heard, Set<String> linked) {
        return new RendezvousCoordinatorSelector(self, () -> heard, linked::contains, HUBS::contains)
                .coordinatorOf("pay-ledger");
    }

    private static List<String> without(String box) {
        return BOXES.stream().filter(other -> !other.equals(box)).toList();
    }

    @Test
    public void allBoxesComeToTheSameHub() {
        Set<String> chosen = new HashSet<>();
        for (String box : BOXES) {
            String gatherer = gatherer(box, without(box), Set.copyOf(BOXES));
            chosen.add(gatherer == null ? box : gatherer);
        }
        assertEquals(chosen.size(), 1);
        assertEquals(HUBS.containsAll(chosen), true);
    }

    @Test
    public void aBoxGathersForItselfWhileNoHubIsLinked() {
        assertNull(gatherer("a", without("a"), Set.of("b", "c")));
    }

    @Test
    public void aHubThatIsNotHeardIsNotChosen() {
        assertEquals(gatherer("a", List.of("b", "hub-2"), Set.copyOf(BOXES)), "hub-2");
    }
}
