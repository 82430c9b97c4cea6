package org.wingstall.core.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.peer.LinkPlan.Box;

public class HubLinksTest {
    private static final int BIG = 150;
    private static final int SMALL = 36;

    private final HubLinks links = new HubLinks(24, 2);

    /** Returns a fleet in which the last two boxes of each domain have the most processor time. */
    private static List<Box> fleet(int domains, int boxes) {
        List<Box> fleet = new ArrayList<>();
        for (int d = 0; d < domains; d++) {
            for (int b = 0; b < boxes; b++) {
                fleet.add(new Box("box-" + d + "-" + b, "domain-" + d, b >= boxes - 2 ? BIG : SMALL));
            }
        }
        return fleet;
    }

    @DataProvider
    Object[][] largeFleets() {
        return new Object[][] {{3, 29}, {4, 20}, {18, 21}, {1, 25}};
    }

    @Test(dataProvider = "largeFleets")
    public void linksLargeFleetToHubsWithMostCapacity(int domains, int boxes) {
        List<Box> fleet = fleet(domains, boxes);
        for (Box box : fleet) {
            List<Box> others = new ArrayList<>(fleet);
            others.remove(box);
            Collections.shuffle(others, new Random(box.hashCode()));
            Set<String> hubs = links.hubs(box, others);
            assertEquals(hubs.size(), 2 * domains);
            assertTrue(fleet.stream().filter(one -> hubs.contains(one.boxId())).allMatch(one -> one.capacity() == BIG));
            int own = hubs.contains(box.boxId()) ? 1 : 0;
            assertEquals(links.linksOf(box, others, others).size(), 2 * domains - own);
        }
    }

    /** Guards against a plan that differs from links and hubs determined one by one, which would leave a link unopened. */
    @Test(dataProvider = "largeFleets")
    public void plansTheSameLinksAndHubsAtOnce(int domains, int boxes) {
        Random random = new Random(domains * 31L + boxes);
        List<Box> known = fleet(domains, boxes);
        for (int round = 0; round < 20; round++) {
            Box self = known.get(random.nextInt(known.size()));
            List<Box> reachable = new ArrayList<>(known);
            reachable.removeIf(box -> random.nextInt(4) == 0);
            LinkStrategy.Plan plan = links.plan(self, reachable, known);
            assertEquals(plan.links(), links.linksOf(self, reachable, known));
            assertEquals(plan.hubs(), links.hubs(self, reachable));
        }
    }

    /** Guards against a comparison that leaves out a field: a box with other processor time must be planned anew. */
    @Test
    public void boxesDifferByEachField() {
        Box box = new Box("a-1", "a", SMALL);
        assertEquals(new Box("a-1", "a", SMALL), box);
        assertEquals(new Box("a-1", "a", SMALL).hashCode(), box.hashCode());
        for (Box other : List.of(new Box("a-2", "a", SMALL), new Box("a-1", "b", SMALL), new Box("a-1", "a", BIG))) {
            assertNotEquals(other, box);
        }
    }

    @Test
    public void replacesLostHub() {
        List<Box> fleet = fleet(3, 29);
        Box self = fleet.get(0);
        Set<String> before = links.hubs(self, fleet);
        fleet.removeIf(box -> box.boxId().equals("box-1-28"));
        Set<String> after = links.hubs(self, fleet);
        assertEquals(after.size(), before.size());
        assertTrue(before.contains("box-1-28") && !after.contains("box-1-28"));
    }

    @Test
    public void smallFleetIsFullMeshOfHubs() {
        List<Box> fleet = fleet(3, 3);
        assertEquals(links.hubs(fleet.get(0), fleet).size(), 9);
        assertEquals(links.linksOf(fleet.get(0), fleet, fleet).size(), 8);
    }
}
