package org.wingstall.core.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LinkPlanTest {
    private static List<LinkPlan.Box> fleet(int domains, int boxes) {
        List<LinkPlan.Box> fleet = new ArrayList<>();
        for (int d = 0; d < domains; d++) {
            for (int b = 0; b < boxes; b++) {
                fleet.add(new LinkPlan.Box("box-" + d + "-" + b, "domain-" + d));
            }
        }
        return fleet;
    }

    @DataProvider
    Object[][] fleets() {
        return new Object[][] {{3, 1}, {3, 3}, {18, 21}};
    }

    @Test(dataProvider = "fleets")
    public void linksAreSymmetricAndJoinEveryPairOfDomains(int domains, int boxes) {
        List<LinkPlan.Box> fleet = fleet(domains, boxes);
        int across = 0;
        for (LinkPlan.Box box : fleet) {
            Set<String> links = LinkPlan.linksOf(box, fleet);
            for (LinkPlan.Box other : fleet) {
                if (links.contains(other.boxId())) {
                    assertTrue(LinkPlan.linksOf(other, fleet).contains(box.boxId()), box + " and " + other);
                    across += other.failureDomain().equals(box.failureDomain()) ? 0 : 1;
                }
            }
            long local = fleet.stream()
                    .filter(o -> o.failureDomain().equals(box.failureDomain()) && links.contains(o.boxId()))
                    .count();
            assertEquals(local, boxes - 1);
        }
        int perPair = Math.min(2, boxes) * Math.min(2, boxes);
        assertEquals(across, domains * (domains - 1) * perPair);
    }

    @Test
    public void losingBoxReassignsOnlyItsOwnAssignments() {
        List<String> boxes = List.of("a", "b", "c", "d", "e");
        String top = RendezvousHash.top("claims", boxes, 1).get(0);
        List<String> without = boxes.stream().filter(b -> !b.equals("a")).toList();
        String next = RendezvousHash.top("claims", without, 1).get(0);
        assertTrue(top.equals("a") || top.equals(next));
    }

    @DataProvider
    Object[][] meshes() {
        return new Object[][] {{2, 21, 60}, {8, 21, 118}, {23, 21, 218}, {23, 21, 652}, {40, 80, 3916}};
    }

    @Test(dataProvider = "meshes")
    public void heartbeatsStayWithinBudget(int peers, int plainBytes, int fullBytes) {
        HeartbeatPacer.Plan plan = new HeartbeatPacer(1000, 2400).plan(peers, plainBytes, fullBytes);
        double extra = (double) (fullBytes - plainBytes) / plan.fullEvery();
        double perSecond = 2.0 * peers * (plainBytes + 104 + extra) * 1000 / plan.intervalMs();
        assertTrue(perSecond <= 2400.1, perSecond + " bytes a second");
    }

    @Test
    public void smallMeshSendsFullHeartbeatEverySecond() {
        assertEquals(new HeartbeatPacer(1000, 2400).plan(4, 21, 118), new HeartbeatPacer.Plan(1000, 1));
    }
}
