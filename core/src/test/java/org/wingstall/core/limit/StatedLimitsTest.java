package org.wingstall.core.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.peer.GossipNetwork;
import org.wingstall.schema.peer.LimitNews;

/** What boxes know of the requests that an endpoint takes. */
public class StatedLimitsTest {
    private static final int BOXES = 5;
    private static final int MOST_MESSAGES = 5000;
    private static final String ENGINE = "e1@1";

    private final List<Box> boxes = new ArrayList<>();
    private GossipNetwork<LimitNews> network;
    private long nowMs;

    private final class Box implements StatedLimits.Listener {
        private final int number;
        private final StatedLimits limits;

        Box(int number) {
            this.number = number;
            this.limits =
                    new StatedLimits(GossipNetwork.nameOf(number), () -> TimeUnit.MILLISECONDS.toNanos(nowMs), this);
        }

        @Override
        public void tell(LimitNews news, String exceptBox) {
            network.tell(number, news, exceptBox);
        }

        @Override
        public void changed(StatedLimits.Limit limit) {}

        OptionalDouble rate() {
            return limits.requestsPerSecond(ENGINE);
        }
    }

    @BeforeMethod
    public void create() {
        nowMs = 100_000;
        boxes.clear();
        network = new GossipNetwork<>(BOXES, MOST_MESSAGES, (box, fromBox, news) -> boxes.get(box)
                .limits
                .heard(fromBox, news));
        for (int i = 0; i < BOXES; i++) {
            boxes.add(new Box(i));
        }
    }

    @DataProvider
    Object[][] seeds() {
        Object[][] seeds = new Object[30][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {i};
        }
        return seeds;
    }

    /** Boxes see other rates, and none, at the same time; in the end all know the same, and nothing is told any more. */
    @Test(dataProvider = "seeds")
    public void newsComesToRestAtOneRateInWhateverOrderItArrives(int seed) {
        Random random = new Random(seed);
        for (int i = 0; i < 40; i++) {
            StatedLimits limits = boxes.get(random.nextInt(BOXES)).limits;
            if (random.nextInt(4) == 0) {
                limits.notStated(ENGINE, nowMs - random.nextInt(300));
            } else {
                limits.stated(ENGINE, random.nextInt(5) / 2.0);
            }
            nowMs += random.nextInt(700);
            network.deliver(random, random.nextInt(8));
        }
        network.deliverAll(random);
        nowMs += 10_000;
        List<OptionalDouble> rates = boxes.stream().map(Box::rate).distinct().toList();
        assertEquals(rates.size(), 1, "rates " + rates);
    }

    @Test
    public void aLowerRateHoldsAtOnceAndAHigherOneOnceTheLowerIsNotStatedAnyMore() {
        StatedLimits limits = boxes.get(0).limits;
        limits.stated(ENGINE, 4);
        limits.stated(ENGINE, 1);
        limits.stated(ENGINE, 3);
        assertEquals(limits.requestsPerSecond(ENGINE), OptionalDouble.of(1));
        nowMs += 1001;
        limits.stated(ENGINE, 3);
        assertEquals(limits.requestsPerSecond(ENGINE), OptionalDouble.of(3));
    }

    @Test
    public void anUnreadableRateKeepsTheOneThatIsKnown() {
        StatedLimits limits = boxes.get(0).limits;
        limits.stated(ENGINE, 0.3);
        limits.statedUnreadable(ENGINE);
        assertEquals(limits.requestsPerSecond(ENGINE), OptionalDouble.of(0.3));
        limits.statedUnreadable("e2@1");
        assertTrue(limits.limited("e2@1"));
    }

    /** An answer that was under way since before the endpoint was in need says nothing of its need. */
    @Test
    public void anAnswerToAnEarlierRequestDoesNotEndALimit() {
        StatedLimits limits = boxes.get(0).limits;
        limits.stated(ENGINE, 1);
        long sentMs = nowMs - 1;
        nowMs += 5000;
        limits.notStated(ENGINE, sentMs);
        assertTrue(limits.limited(ENGINE));
        limits.notStated(ENGINE, nowMs);
        assertFalse(limits.limited(ENGINE));
    }

    @Test
    public void anEndpointThatIsReleasedGetsMoreStepByStep() {
        StatedLimits limits = boxes.get(0).limits;
        limits.stated(ENGINE, 1);
        nowMs += 2000;
        limits.notStated(ENGINE, nowMs);
        assertEquals(limits.requestsPerSecond(ENGINE), OptionalDouble.of(1));
        nowMs += 3000;
        assertEquals(limits.requestsPerSecond(ENGINE), OptionalDouble.of(8));
        nowMs += 3000;
        assertEquals(limits.requestsPerSecond(ENGINE), OptionalDouble.empty());
    }

    @Test
    public void aLimitThatNobodyStatesAnyMoreEnds() {
        boxes.get(0).limits.stated(ENGINE, 1);
        network.deliverAll(new Random(1));
        nowMs += 29_000;
        assertTrue(boxes.stream().allMatch(box -> box.limits.limited(ENGINE)));
        nowMs += 10_000;
        assertTrue(boxes.stream().allMatch(box -> box.rate().isEmpty()));
    }

    /** Boxes that get no answers of the endpoint hear of the limit again as long as others get some. */
    @Test
    public void aLimitThatHoldsOnIsToldAgain() {
        Random random = new Random(1);
        for (int i = 0; i < 60; i++) {
            boxes.get(0).limits.stated(ENGINE, 1);
            network.deliverAll(random);
            nowMs += 1000;
            assertTrue(boxes.stream().allMatch(box -> box.limits.limited(ENGINE)), "after " + i + " s");
        }
    }
}
