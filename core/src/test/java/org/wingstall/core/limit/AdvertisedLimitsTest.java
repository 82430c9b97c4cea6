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
import org.wingstall.core.peer.SimulatedGossipNetwork;
import org.wingstall.schema.peer.LimitNews;

/** Tests that boxes agree on the request rate that an endpoint advertises. */
public class AdvertisedLimitsTest {
    private static final int BOXES = 5;
    private static final int MOST_MESSAGES = 5000;
    private static final String ENGINE = "e1@1";

    private final List<Box> boxes = new ArrayList<>();
    private SimulatedGossipNetwork<LimitNews> network;
    private long nowMs;

    private final class Box implements AdvertisedLimits.Listener {
        private final int number;
        private final AdvertisedLimits limits;

        Box(int number) {
            this.number = number;
            this.limits = new AdvertisedLimits(
                    SimulatedGossipNetwork.nameOf(number), () -> TimeUnit.MILLISECONDS.toNanos(nowMs), this);
        }

        @Override
        public void broadcast(LimitNews news, String exceptBox) {
            network.broadcast(number, news, exceptBox);
        }

        @Override
        public void changed(AdvertisedLimits.Limit limit) {}

        OptionalDouble rate() {
            return limits.requestsPerSecond(ENGINE);
        }
    }

    @BeforeMethod
    public void create() {
        nowMs = 100_000;
        boxes.clear();
        network = new SimulatedGossipNetwork<>(BOXES, MOST_MESSAGES, (box, fromBox, news) -> boxes.get(box)
                .limits
                .receive(fromBox, news));
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

    /**
     * Boxes receive different rates, or none, at the same time; in the end all have the same rate and no more messages
     * are sent.
     */
    @Test(dataProvider = "seeds")
    public void boxesConvergeToOneRateInAnyDeliveryOrder(int seed) {
        Random random = new Random(seed);
        for (int i = 0; i < 40; i++) {
            AdvertisedLimits limits = boxes.get(random.nextInt(BOXES)).limits;
            if (random.nextInt(4) == 0) {
                limits.notAdvertised(ENGINE, nowMs - random.nextInt(300));
            } else {
                limits.advertised(ENGINE, random.nextInt(5) / 2.0);
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
    public void lowerRateAppliesAtOnceAndHigherRateAfterADelay() {
        AdvertisedLimits limits = boxes.get(0).limits;
        limits.advertised(ENGINE, 4);
        limits.advertised(ENGINE, 1);
        limits.advertised(ENGINE, 3);
        assertEquals(limits.requestsPerSecond(ENGINE), OptionalDouble.of(1));
        nowMs += 1001;
        limits.advertised(ENGINE, 3);
        assertEquals(limits.requestsPerSecond(ENGINE), OptionalDouble.of(3));
    }

    @Test
    public void unreadableRateKeepsTheKnownRate() {
        AdvertisedLimits limits = boxes.get(0).limits;
        limits.advertised(ENGINE, 0.3);
        limits.advertisedUnreadable(ENGINE);
        assertEquals(limits.requestsPerSecond(ENGINE), OptionalDouble.of(0.3));
        limits.advertisedUnreadable("e2@1");
        assertTrue(limits.isLimited("e2@1"));
    }

    /** A response to a request sent before the endpoint advertised its limit does not show that the limit has ended. */
    @Test
    public void responseToAnEarlierRequestDoesNotEndALimit() {
        AdvertisedLimits limits = boxes.get(0).limits;
        limits.advertised(ENGINE, 1);
        long sentMs = nowMs - 1;
        nowMs += 5000;
        limits.notAdvertised(ENGINE, sentMs);
        assertTrue(limits.isLimited(ENGINE));
        limits.notAdvertised(ENGINE, nowMs);
        assertFalse(limits.isLimited(ENGINE));
    }

    @Test
    public void rateRampsUpAfterALimitEnds() {
        AdvertisedLimits limits = boxes.get(0).limits;
        limits.advertised(ENGINE, 1);
        nowMs += 2000;
        limits.notAdvertised(ENGINE, nowMs);
        assertEquals(limits.requestsPerSecond(ENGINE), OptionalDouble.of(1));
        nowMs += 3000;
        assertEquals(limits.requestsPerSecond(ENGINE), OptionalDouble.of(8));
        nowMs += 3000;
        assertEquals(limits.requestsPerSecond(ENGINE), OptionalDouble.empty());
    }

    @Test
    public void limitThatIsNoLongerAdvertisedExpires() {
        boxes.get(0).limits.advertised(ENGINE, 1);
        network.deliverAll(new Random(1));
        nowMs += 29_000;
        assertTrue(boxes.stream().allMatch(box -> box.limits.isLimited(ENGINE)));
        nowMs += 10_000;
        assertTrue(boxes.stream().allMatch(box -> box.rate().isEmpty()));
    }

    /** Boxes without responses from the endpoint receive the limit again as long as other boxes get responses. */
    @Test
    public void unchangedLimitIsBroadcastAgain() {
        Random random = new Random(1);
        for (int i = 0; i < 60; i++) {
            boxes.get(0).limits.advertised(ENGINE, 1);
            network.deliverAll(random);
            nowMs += 1000;
            assertTrue(boxes.stream().allMatch(box -> box.limits.isLimited(ENGINE)), "after " + i + " s");
        }
    }
}
