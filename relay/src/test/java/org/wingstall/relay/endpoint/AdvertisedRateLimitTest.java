package org.wingstall.relay.endpoint;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.core.limit.AdvertisedLimits;
import org.wingstall.relay.endpoint.SendLimits.SelectionMode;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.schema.peer.LimitNews;
import org.wingstall.schema.platform.Member;

/**
 * Simulates an endpoint that advertises a limit under a burst: at any moment every box has more requests for it than it
 * takes. All boxes together must stay within the endpoint's rate, whichever boxes reach each other, and must not use
 * much less than it.
 */
public class AdvertisedRateLimitTest {
    private static final long STEP_MS = 50;
    private static final long PHASE_MS = 9000;
    private static final int DOMAINS = 3;
    private static final double BURST_FACTOR = 1.5;
    private static final double TOLERANCE = 5;

    private long nowMs;
    private RelayEndpoint endpoint;

    @BeforeMethod
    public void startEndpoint() {
        nowMs = 100_000;
        RelayEndpoints endpoints = new RelayEndpoints(this::nowNs);
        endpoints.applyList(List.of(
                new Member("e1", Member.Kind.ENDPOINT, "d0", "127.0.0.1:9", "llm", "v1", Member.State.LIVE, 1, 64, 0)));
        endpoint = endpoints.ofService("llm").get(0);
    }

    private long nowNs() {
        return TimeUnit.MILLISECONDS.toNanos(nowMs);
    }

    /** Which box is the coordinator of which others. */
    private enum Layout {
        /** One box is the coordinator of all others. */
        WHOLE,
        /** Each failure domain is cut off from the others and has a coordinator of its own. */
        PARTITIONED,
        /** One box reaches no other box, and one of the others is the coordinator of the rest. */
        ONE_ALONE,
        /** No box reaches any other, and each is the coordinator of itself only. */
        ALL_ALONE,
        /** One box is the coordinator, and its responses reach none of the others in time. */
        SLOW_COORDINATOR,
        /** Each box selects for itself, as for endpoints that are not engines. */
        EACH_BOX
    }

    /** A box with the limits on its requests and its view of the fleet. */
    private final class Box implements Fleet.Provider {
        private final int number;
        private final List<String> fleet;
        private final SendLimits limits;
        private final CoordinationHistory coordination;
        private Layout layout = Layout.WHOLE;

        Box(int number, List<String> fleet, double requestsPerSecond) {
            this.number = number;
            this.fleet = fleet;
            AdvertisedLimits stated =
                    new AdvertisedLimits(fleet.get(number), AdvertisedRateLimitTest.this::nowNs, new NoListener());
            stated.advertised(endpoint.key(), requestsPerSecond);
            this.coordination =
                    new CoordinationHistory(AdvertisedRateLimitTest.this::nowNs, this, AdvertisedRateLimit.WINDOW_MS);
            this.limits = SendLimits.builder(AdvertisedRateLimitTest.this::nowNs, this, coordination)
                    .limitAdvertised(stated)
                    .build(new RelayMetrics());
        }

        private int coordinator() {
            return switch (layout) {
                case WHOLE, SLOW_COORDINATOR, EACH_BOX -> 0;
                case PARTITIONED -> number % DOMAINS;
                case ONE_ALONE -> number == 0 ? 0 : 1;
                case ALL_ALONE -> number;
            };
        }

        private List<String> heard() {
            return IntStream.range(0, fleet.size())
                    .filter(this::hears)
                    .mapToObj(fleet::get)
                    .toList();
        }

        private boolean hears(int other) {
            return switch (layout) {
                case WHOLE, SLOW_COORDINATOR, EACH_BOX -> true;
                case PARTITIONED -> other % DOMAINS == number % DOMAINS;
                case ONE_ALONE -> (other == 0) == (number == 0);
                case ALL_ALONE -> other == number;
            };
        }

        @Override
        public Fleet snapshot() {
            return new Fleet(fleet.get(number), fleet, heard(), true, DOMAINS);
        }

        @Override
        public boolean discoveryComplete() {
            return true;
        }

        @Override
        public boolean coordinates(String service) {
            return coordinator() == number;
        }

        /** Returns the mode in which this box selects endpoints now; null when another box selects for it. */
        private SelectionMode mode() {
            if (layout == Layout.EACH_BOX) {
                return SelectionMode.INDEPENDENT;
            }
            if (coordinates("llm")) {
                return SelectionMode.COORDINATOR;
            }
            return layout == Layout.SLOW_COORDINATOR ? SelectionMode.FALLBACK : null;
        }
    }

    private static final class NoListener implements AdvertisedLimits.Listener {
        @Override
        public void broadcast(LimitNews news, String exceptBox) {}

        @Override
        public void changed(AdvertisedLimits.Limit limit) {}
    }

    /** Sends as much as the limits allow at each step, and records the maximum within any window. */
    private final class Burst {
        private final List<Box> boxes = new ArrayList<>();
        private final Deque<Long> sentAtMs = new ArrayDeque<>();
        private int maxInWindow;
        private int sent;

        Burst(int size, double requestsPerSecond) {
            List<String> names =
                    IntStream.range(0, size).mapToObj(box -> "box-" + box).toList();
            for (int box = 0; box < size; box++) {
                boxes.add(new Box(box, names, requestsPerSecond));
            }
        }

        void run(Layout layout, long forMs) {
            boxes.forEach(box -> box.layout = layout);
            long untilMs = nowMs + forMs;
            for (; nowMs < untilMs; nowMs += STEP_MS) {
                if (nowMs % CoordinationHistory.SAMPLE_MS == 0) {
                    boxes.forEach(box -> box.coordination.sample());
                }
                boxes.stream().filter(box -> box.mode() != null).forEach(this::sendAll);
            }
        }

        private void sendAll(Box box) {
            while (!box.limits.withinLimits(List.of(endpoint), box.mode()).isEmpty()) {
                box.limits.recordSend(endpoint);
                sent++;
                sentAtMs.addLast(nowMs);
                while (nowMs - sentAtMs.peekFirst() >= AdvertisedRateLimit.WINDOW_MS) {
                    sentAtMs.removeFirst();
                }
                maxInWindow = Math.max(maxInWindow, sentAtMs.size());
            }
        }
    }

    private static double allowed(double requestsPerSecond) {
        return BURST_FACTOR * requestsPerSecond * AdvertisedRateLimit.WINDOW_MS / 1000 + TOLERANCE;
    }

    @DataProvider
    Object[][] fleets() {
        List<Object[]> cases = new ArrayList<>();
        for (int boxes : new int[] {3, 9, 89}) {
            for (double rate : boxes > 9 ? new double[] {0, 1, 10} : new double[] {0, 0.3, 1, 2.5, 10, 200}) {
                for (Layout layout : Layout.values()) {
                    cases.add(new Object[] {boxes, rate, layout});
                }
            }
        }
        return cases.toArray(Object[][]::new);
    }

    @Test(dataProvider = "fleets")
    public void allBoxesTogetherStayWithinTheRate(int boxes, double rate, Layout layout) {
        Burst burst = new Burst(boxes, rate);
        burst.run(layout, PHASE_MS);
        assertTrue(burst.maxInWindow <= allowed(rate), burst.maxInWindow + " of " + allowed(rate));
        assertTrue(burst.sent > 0, "nothing is sent");
    }

    /** The fleet is partitioned during the burst and recovers, so that coordinators change twice. */
    @Test(dataProvider = "fleets")
    public void aFleetThatIsPartitionedDuringTheBurstStaysWithinTheRate(int boxes, double rate, Layout layout) {
        Burst burst = new Burst(boxes, rate);
        Layout usual = layout == Layout.EACH_BOX ? layout : Layout.WHOLE;
        burst.run(usual, PHASE_MS);
        burst.run(layout, PHASE_MS);
        burst.run(usual, PHASE_MS);
        assertTrue(burst.maxInWindow <= allowed(rate), burst.maxInWindow + " of " + allowed(rate));
    }

    /** While one box is the coordinator of all, or each box selects for itself, the endpoint's rate is used. */
    @Test(dataProvider = "fleets")
    public void aCompleteFleetUsesTheRate(int boxes, double rate, Layout layout) {
        if (layout != Layout.WHOLE && layout != Layout.EACH_BOX) {
            return;
        }
        Burst burst = new Burst(boxes, rate);
        burst.run(layout, PHASE_MS);
        int before = burst.sent;
        burst.run(layout, PHASE_MS);
        double wanted = 0.8
                * Math.floor(rate * AdvertisedRateLimit.WINDOW_MS / 1000)
                * PHASE_MS
                / AdvertisedRateLimit.WINDOW_MS;
        assertTrue(burst.sent - before >= wanted, (burst.sent - before) + " of " + wanted);
    }
}
