package org.wingstall.relay.stream;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.peer.HubLinks;
import org.wingstall.core.peer.LinkPlan.Box;
import org.wingstall.relay.stream.DomainOriginHolders.Spread;

/** Streams could not be resumed after the loss of boxes, because too few others knew which version began them. */
public class StreamOriginSurvivalTest {
    private static final int DOMAINS = 3;
    private static final int STREAMS = 2000;
    private static final HubLinks LINKS = new HubLinks(24, 2);

    /** The users ask that streams go on at least half as often as new ones begin. */
    private static final double LEAST_SHARE = 0.5;

    /** Compared with asking all boxes only, and with fewer holders. */
    private static final List<Spread> SPREADS =
            List.of(new Spread(0, 0), new Spread(1, 0), new Spread(1, 1), Spread.STANDARD);

    /** What is lost between the first try and the next one; the next box is one that lives. */
    private enum Loss {
        FIRST_BOX,
        HOLDER,
        THIRD_OF_BOXES,
        HALF_OF_BOXES,
        FIRST_DOMAIN,
        CUT_FROM_FIRST_DOMAIN,
        ALL_BOXES;

        Set<Box> lost(List<Box> fleet, Box first, List<String> holders, Random random) {
            List<Box> shuffled = new ArrayList<>(fleet);
            Collections.shuffle(shuffled, random);
            Predicate<Box> lost =
                    switch (this) {
                        case FIRST_BOX -> first::equals;
                        case HOLDER -> box -> !holders.isEmpty() && box.boxId().equals(holders.get(0));
                        case THIRD_OF_BOXES -> box -> box.equals(first) || shuffled.indexOf(box) < fleet.size() / 3;
                        case HALF_OF_BOXES -> box -> box.equals(first) || shuffled.indexOf(box) < fleet.size() / 2;
                        case FIRST_DOMAIN, CUT_FROM_FIRST_DOMAIN ->
                            box -> box.failureDomain().equals(first.failureDomain());
                        case ALL_BOXES -> box -> true;
                    };
            return new HashSet<>(fleet.stream().filter(lost).toList());
        }
    }

    private static List<Box> fleet(int boxes) {
        List<Box> fleet = new ArrayList<>();
        for (int i = 0; i < boxes; i++) {
            fleet.add(new Box("box-" + i, "domain-" + i % DOMAINS));
        }
        return fleet;
    }

    private static List<Box> hubsSeenBy(Box self, List<Box> fleet) {
        Set<String> hubs = LINKS.hubs(self, fleet);
        return fleet.stream()
                .filter(box -> hubs.contains(box.boxId()) && !box.equals(self))
                .toList();
    }

    /** Returns the share of streams whose version is known where their callers come next. */
    private static double shareKnown(List<Box> fleet, Spread spread, Loss loss) {
        Random random = new Random(44);
        int known = 0;
        for (int i = 0; i < STREAMS; i++) {
            Box first = fleet.get(random.nextInt(fleet.size()));
            List<String> holders = new DomainOriginHolders(
                            first.failureDomain(), () -> hubsSeenBy(first, fleet), () -> true, spread)
                    .holdersOf("stream-" + i);
            Set<Box> lost = loss.lost(fleet, first, holders, random);
            List<Box> alive = fleet.stream().filter(box -> !lost.contains(box)).toList();
            if (alive.isEmpty()) {
                continue;
            }
            Box next = alive.get(random.nextInt(alive.size()));
            // Links to new hubs are opened later; the box asks those that it was linked to before.
            Set<String> asked = new HashSet<>();
            hubsSeenBy(next, fleet).stream().filter(alive::contains).forEach(box -> asked.add(box.boxId()));
            asked.add(next.boxId());
            boolean found = asked.contains(first.boxId()) || holders.stream().anyMatch(asked::contains);
            known += found ? 1 : 0;
        }
        return known / (double) STREAMS;
    }

    @DataProvider
    Object[][] losses() {
        List<Object[]> rows = new ArrayList<>();
        for (int boxes : new int[] {9, 61, 300}) {
            for (Loss loss : Loss.values()) {
                rows.add(new Object[] {boxes, loss});
            }
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "losses")
    public void theVersionOfAStreamIsKnownAfterTheLossOfBoxes(int boxes, Loss loss) {
        List<Box> fleet = fleet(boxes);
        for (Spread spread : SPREADS) {
            Reporter.log(boxes + " boxes, " + loss + ", " + spread + ": " + shareKnown(fleet, spread, loss), true);
        }
        if (loss != Loss.ALL_BOXES) {
            assertTrue(shareKnown(fleet, Spread.STANDARD, loss) >= LEAST_SHARE);
        }
    }
}
