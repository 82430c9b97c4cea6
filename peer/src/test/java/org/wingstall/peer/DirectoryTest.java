package org.wingstall.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.peer.LinkPlan;

/** Each known box is either reachable or not: one that is neither would never be dialled again. */
public class DirectoryTest {
    private static final int BOXES = 80;

    private final Directory directory = new Directory();

    private static Directory.Entry entry(int number) {
        LinkPlan.Box box = new LinkPlan.Box("box-" + number, "domain-" + number % 3, 36);
        return new Directory.Entry(box, new InetSocketAddress("127.0.0.1", 1000 + number));
    }

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    @Test(dataProvider = "seeds")
    public void everyBoxIsReachableOrUnreachable(long seed) {
        Random random = new Random(seed);
        for (int step = 0; step < 500; step++) {
            change(random);
            Set<LinkPlan.Box> either = new HashSet<>(directory.reachable());
            either.addAll(directory.unreachable());
            assertEquals(either, new HashSet<>(directory.all()), "after step " + step);
            assertEquals(
                    directory.reachable().size() + directory.unreachable().size(),
                    directory.all().size(),
                    "after step " + step);
        }
    }

    /** Guards against a healed cut after which each box of a failure domain has to be dialled to count again. */
    @Test
    public void allOfAFailureDomainIsReachableOnceOneOfItIs() {
        directory.applyBoxes(allBoxes(), "box-0");
        for (int number = 1; number < BOXES; number++) {
            for (int dial = 0; dial < 3; dial++) {
                directory.dialFailed(entry(number).address());
            }
        }
        assertEquals(directory.reachable().size(), 0);
        long before = directory.changes();
        directory.dialSucceeded(entry(4).address());
        assertTrue(directory.changes() > before, "links are planned anew");
        assertEquals(
                directory.reachable().stream()
                        .map(LinkPlan.Box::failureDomain)
                        .distinct()
                        .toList(),
                List.of("domain-1"));
        assertEquals(
                directory.unreachable().stream()
                        .filter(box -> box.failureDomain().equals("domain-1"))
                        .count(),
                0);
    }

    private static List<Directory.Entry> allBoxes() {
        List<Directory.Entry> boxes = new ArrayList<>();
        for (int number = 0; number < BOXES; number++) {
            boxes.add(entry(number));
        }
        return boxes;
    }

    private void change(Random random) {
        Directory.Entry any = entry(random.nextInt(BOXES));
        switch (random.nextInt(8)) {
            case 0 -> directory.applyBoxes(someBoxes(random), "box-0");
            case 1 -> directory.learned(any.box(), any.address());
            case 2 -> directory.dialSucceeded(any.address());
            default -> directory.dialFailed(any.address());
        }
    }

    private static List<Directory.Entry> someBoxes(Random random) {
        List<Directory.Entry> boxes = new ArrayList<>();
        for (int number = 0; number < BOXES; number++) {
            if (random.nextInt(5) > 0) {
                boxes.add(entry(number));
            }
        }
        return boxes;
    }
}
