package org.wingstall.core.peer;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against an order that depends on that of the boxes, or that differs between the two queries. */
public class RendezvousHashTest {
    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{1}, {2}, {9}, {80}, {300}};
    }

    @Test(dataProvider = "sizes")
    public void topIsTheOrderOfTheRanks(int boxCount) {
        List<String> boxes = new ArrayList<>();
        for (int i = 0; i < boxCount; i++) {
            boxes.add("box-" + i);
        }
        List<String> shuffled = new ArrayList<>(boxes);
        Collections.shuffle(shuffled, new Random(boxCount));
        List<String> all = RendezvousHash.top("claims", boxes, boxCount);
        assertEquals(RendezvousHash.top("claims", shuffled, boxCount), all);
        for (int rank = 0; rank < boxCount; rank++) {
            assertEquals(RendezvousHash.rank("claims", boxes, all.get(rank)), rank);
        }
        assertEquals(RendezvousHash.top("claims", boxes, 2), all.subList(0, Math.min(2, boxCount)));
        assertEquals(RendezvousHash.top("claims", List.of(), 1), List.of());
    }
}
