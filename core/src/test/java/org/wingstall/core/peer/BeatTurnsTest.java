package org.wingstall.core.peer;

import static org.testng.Assert.assertEquals;

import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Hubs hear every box of a large fleet; those that do no work for others need not be heard at each turn. */
public class BeatTurnsTest {
    @DataProvider
    public Object[][] boxes() {
        return new Object[][] {{true, 100}, {false, 100 / BeatTurns.SELDOM}};
    }

    @Test(dataProvider = "boxes")
    public void aBoxThatWorksForOthersIsHeardAtEachTurn(boolean worksForOthers, long heartbeats) {
        BeatTurns turns = new BeatTurns();
        assertEquals(
                IntStream.range(0, 100)
                        .filter(turn -> turns.due(worksForOthers))
                        .count(),
                heartbeats);
    }
}
