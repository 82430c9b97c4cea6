package org.wingstall.relay.endpoint;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.config.ColdStartSpec;
import org.wingstall.relay.endpoint.SendLimits.SelectionMode;
import org.wingstall.relay.log.RelayMetrics;
import org.wingstall.schema.platform.Member;

/**
 * Simulates a failure domain that restarts cold under a burst: at any moment every box has more requests for its
 * endpoints than they can take. All boxes together must stay within their capacity, however the fleet is partitioned.
 */
public class ColdStartLimitTest {
    private static final double RATE = 9.1;
    private static final double BURST_FACTOR = 1.5;
    private static final double TOLERANCE = 5;
    private static final double CAPACITY = RATE * BURST_FACTOR + TOLERANCE;
    private static final int DOMAINS = 3;
    private static final int BOXES_IN_DOMAIN = 30;
    private static final long STEP_MS = 50;
    private static final long PHASE_MS = 5000;

    private long nowMs;
    private RelayEndpoint endpoint;

    @BeforeMethod
    public void startColdEndpoint() {
        nowMs = 10_000;
        RelayEndpoints endpoints = new RelayEndpoints(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        endpoints.applyList(List.of());
        endpoints.applyList(List.of(new Member(
                "e1", Member.Kind.ENDPOINT, "d0", "127.0.0.1:9", "llm", "v1", Member.State.LIVE, 1, 64, 60_000)));
        endpoint = endpoints.ofService("llm").get(0);
    }

    /** Which boxes are coordinators, and which are on their own. */
    private enum Layout {
        /** One box is the coordinator of all others. */
        WHOLE,
        /** Each failure domain is cut off from the others and has a coordinator of its own. */
        PARTITIONED,
        /** Failure domains are cut off from each other, and a third of the boxes reaches no other box. */
        PARTITIONED_AND_ALONE,
        /** One box is the coordinator, and its responses reach none of the others in time. */
        SLOW_COORDINATOR,
        /** No box reaches any other. */
        ALL_ALONE
    }

    private List<SendLimits> fleet(ColdStartShares shares, Layout layout, boolean coordinators) {
        List<String> boxes = IntStream.range(0, DOMAINS * BOXES_IN_DOMAIN)
                .mapToObj(box -> "box-" + box)
                .toList();
        List<SendLimits> limits = new ArrayList<>();
        for (int box = 0; box < boxes.size(); box++) {
            boolean coordinator =
                    switch (layout) {
                        case WHOLE, SLOW_COORDINATOR -> box == 0;
                        case PARTITIONED, PARTITIONED_AND_ALONE -> box % BOXES_IN_DOMAIN == 0;
                        case ALL_ALONE -> false;
                    };
            boolean asks =
                    switch (layout) {
                        case WHOLE, PARTITIONED -> !coordinator;
                        case PARTITIONED_AND_ALONE -> !coordinator && box % 3 != 0;
                        case SLOW_COORDINATOR, ALL_ALONE -> false;
                    };
            if (asks || coordinator != coordinators) {
                continue;
            }
            Fleet view = new Fleet(boxes.get(box), boxes, boxes, coordinator, DOMAINS);
            limits.add(limits(shares, new FixedFleet(view, true, coordinator)));
        }
        return limits;
    }

    private SendLimits limits(ColdStartShares shares, Fleet.Provider fleet) {
        return SendLimits.builder(() -> TimeUnit.MILLISECONDS.toNanos(nowMs), fleet)
                .limitColdStarts(
                        service -> Optional.of(new ColdStartSpec(3000, RATE)),
                        () -> new SendLimits.ColdStartBurst(BURST_FACTOR, TOLERANCE),
                        shares)
                .build(new RelayMetrics());
    }

    private static Fleet.Provider aloneInTheFleet(boolean settled) {
        return new FixedFleet(new Fleet("box-0", List.of("box-0"), List.of("box-0"), true, 1), settled, true);
    }

    /** Sends as much as the limits allow at each step, and records the maximum within any second. */
    private final class Burst {
        private final Deque<Long> sentAtMs = new ArrayDeque<>();
        private int maxInWindow;
        private int sent;

        void run(List<SendLimits> coordinators, List<SendLimits> standalone) {
            long untilMs = nowMs + PHASE_MS;
            for (; nowMs < untilMs; nowMs += STEP_MS) {
                coordinators.forEach(limits -> sendAll(limits, SelectionMode.COORDINATOR));
                standalone.forEach(limits -> sendAll(limits, SelectionMode.FALLBACK));
            }
        }

        private void sendAll(SendLimits limits, SelectionMode mode) {
            while (!limits.withinLimits(List.of(endpoint), mode).isEmpty()) {
                limits.recordSend(endpoint);
                recordSend();
            }
        }

        private void recordSend() {
            sentAtMs.addLast(nowMs);
            while (nowMs - sentAtMs.peekFirst() > ColdStartLimit.WINDOW_MS) {
                sentAtMs.removeFirst();
            }
            maxInWindow = Math.max(maxInWindow, sentAtMs.size());
            sent++;
        }
    }

    @DataProvider
    public Object[][] layouts() {
        return Stream.of(Layout.values())
                .map(layout -> new Object[] {new EqualColdStartShares(), layout})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "layouts")
    public void allBoxesTogetherStayWithinTheCapacityOfAColdEndpoint(ColdStartShares shares, Layout layout) {
        Burst burst = new Burst();
        burst.run(fleet(shares, layout, true), fleet(shares, layout, false));
        assertTrue(burst.maxInWindow <= CAPACITY, shares + " " + layout + ": " + burst.maxInWindow);
        assertTrue(burst.sent > 0, shares + " " + layout + " sends nothing");
    }

    /** The previous coordinator and the new coordinators of the partitions send within the same second. */
    @Test(dataProvider = "layouts")
    public void aPartitionDuringTheBurstKeepsTheLimit(ColdStartShares shares, Layout layout) {
        Burst burst = new Burst();
        burst.run(fleet(shares, Layout.WHOLE, true), fleet(shares, Layout.WHOLE, false));
        burst.run(fleet(shares, layout, true), fleet(shares, layout, false));
        assertTrue(burst.maxInWindow <= CAPACITY, shares + " " + layout + ": " + burst.maxInWindow);
    }

    /** Boxes that have just started may know only themselves, and each would consider itself the coordinator. */
    @Test
    public void aBoxBeforeDiscoveryAvoidsColdEndpointsWhileThereAreWarmOnes() {
        RelayEndpoints endpoints = new RelayEndpoints(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        endpoints.applyList(List.of(new Member(
                "warm", Member.Kind.ENDPOINT, "d0", "127.0.0.1:8", "llm", "v1", Member.State.LIVE, 1, 64, 0)));
        RelayEndpoint warm = endpoints.ofService("llm").get(0);
        SendLimits limits = limits(new EqualColdStartShares(), aloneInTheFleet(false));
        assertEquals(limits.withinLimits(List.of(endpoint, warm), SelectionMode.COORDINATOR), List.of(warm));
    }

    /** Once the cold time that an endpoint last reported is over, its requests are no longer limited. */
    @Test
    public void aWarmEndpointIsNotLimited() {
        nowMs += 60_001;
        SendLimits limits = limits(new EqualColdStartShares(), aloneInTheFleet(true));
        for (int i = 0; i < 100; i++) {
            assertEquals(
                    limits.withinLimits(List.of(endpoint), SelectionMode.COORDINATOR)
                            .size(),
                    1);
            limits.recordSend(endpoint);
        }
    }

    /** Each partition of the fleet has a coordinator, and one of them is replaced by a box without its history. */
    @Test
    public void aNewCoordinatorInAPartitionedFleetKeepsTheLimit() {
        Burst burst = new Burst();
        List<SendLimits> parts = new ArrayList<>(fleet(new EqualColdStartShares(), Layout.PARTITIONED_AND_ALONE, true));
        List<SendLimits> alone = fleet(new EqualColdStartShares(), Layout.PARTITIONED_AND_ALONE, false);
        burst.run(parts, alone);
        parts.set(
                0,
                fleet(new EqualColdStartShares(), Layout.PARTITIONED_AND_ALONE, true)
                        .get(0));
        burst.run(parts, alone);
        assertTrue(burst.maxInWindow <= CAPACITY, "in a second: " + burst.maxInWindow);
    }
}
