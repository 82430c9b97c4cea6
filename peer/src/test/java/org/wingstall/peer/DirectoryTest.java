package org.wingstall.peer;

import static org.testng.Assert.assertEquals;

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
