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
    public void bothEndsOfALinkPlanItAndEveryPairOfDomainsHasOne(int domains, int boxes) {
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
    public void aLostBoxMovesOnlyWhatItHeld() {
        List<String> boxes = List.of("a", "b", "c", "d", "e");
        String top = Rendezvous.top("claims", boxes, 1).get(0);
        List<String> without = boxes.stream().filter(b -> !b.equals("a")).toList();
        String next = Rendezvous.top("claims", without, 1).get(0);
        assertTrue(top.equals("a") || top.equals(next));
    }

    @Test
    public void heartbeatsStretchToStayInTheirBudget() {
        HeartbeatPacer pacer = new HeartbeatPacer(1000, 2400);
        assertEquals(pacer.intervalMs(2, 60), 1000);
        long interval = pacer.intervalMs(23, 80);
        assertTrue(2.0 * 23 * (80 + 104) * 1000 / interval <= 2400.01);
    }
}
