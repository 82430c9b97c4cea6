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
 * A failure domain comes back cold under a burst: every box has more requests for its endpoints at any moment than they bear.
 * What all boxes send together stays within that, however the fleet is cut apart.
 */
public class ColdStartLimitTest {
    private static final double RATE = 9.1;
    private static final double OVERRUN = 1.5;
    private static final double TOLERANCE = 5;
    private static final double BEARABLE = RATE * OVERRUN + TOLERANCE;
    private static final int DOMAINS = 3;
    private static final int BOXES_IN_DOMAIN = 30;
    private static final long STEP_MS = 50;
    private static final long PLAYED_MS = 5000;

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

    /** Who chooses for all, and who is on its own. */
    private enum Layout {
        /** One box chooses for all others. */
        WHOLE,
        /** Each failure domain is cut off from the others and has a box that chooses for it. */
        CUT_APART,
        /** Failure domains are cut apart, and a third of the boxes hears nobody. */
        CUT_APART_AND_ALONE,
        /** One box chooses, and none of the others gets its word in time. */
        SLOW_CHOOSER,
        /** No box hears any other. */
        ALL_ALONE
    }

    private List<SendLimits> fleet(ColdStartShares shares, Layout layout, boolean forAll) {
        List<String> boxes = IntStream.range(0, DOMAINS * BOXES_IN_DOMAIN)
                .mapToObj(box -> "box-" + box)
                .toList();
        List<SendLimits> limits = new ArrayList<>();
        for (int box = 0; box < boxes.size(); box++) {
            boolean chooses =
                    switch (layout) {
                        case WHOLE, SLOW_CHOOSER -> box == 0;
                        case CUT_APART, CUT_APART_AND_ALONE -> box % BOXES_IN_DOMAIN == 0;
                        case ALL_ALONE -> false;
                    };
            boolean asks =
                    switch (layout) {
                        case WHOLE, CUT_APART -> !chooses;
                        case CUT_APART_AND_ALONE -> !chooses && box % 3 != 0;
                        case SLOW_CHOOSER, ALL_ALONE -> false;
                    };
            if (asks || chooses != forAll) {
                continue;
            }
            Fleet sight = new Fleet(boxes.get(box), boxes, boxes, chooses, DOMAINS);
            limits.add(limits(shares, new FixedFleet(sight, true, chooses)));
        }
        return limits;
    }

    private SendLimits limits(ColdStartShares shares, Fleet.Provider sight) {
        return SendLimits.builder(() -> TimeUnit.MILLISECONDS.toNanos(nowMs), sight)
                .limitColdStarts(
                        service -> Optional.of(new ColdStartSpec(3000, RATE)),
                        () -> new SendLimits.ColdStartBurst(OVERRUN, TOLERANCE),
                        shares)
                .build(new RelayMetrics());
    }

    private static Fleet.Provider aloneInTheFleet(boolean settled) {
        return new FixedFleet(new Fleet("box-0", List.of("box-0"), List.of("box-0"), true, 1), settled, true);
    }

    /** Sends as much as is let through at each step, and returns the most within any second. */
    private final class Burst {
        private final Deque<Long> sentAtMs = new ArrayDeque<>();
        private int most;
        private int sent;

        void play(List<SendLimits> forAll, List<SendLimits> alone) {
            long untilMs = nowMs + PLAYED_MS;
            for (; nowMs < untilMs; nowMs += STEP_MS) {
                forAll.forEach(limits -> sendAll(limits, SelectionMode.COORDINATOR));
                alone.forEach(limits -> sendAll(limits, SelectionMode.FALLBACK));
            }
        }

        private void sendAll(SendLimits limits, SelectionMode chooser) {
            while (!limits.withinLimits(List.of(endpoint), chooser).isEmpty()) {
                limits.recordSend(endpoint);
                note();
            }
        }

        private void note() {
            sentAtMs.addLast(nowMs);
            while (nowMs - sentAtMs.peekFirst() > ColdStartLimit.WINDOW_MS) {
                sentAtMs.removeFirst();
            }
            most = Math.max(most, sentAtMs.size());
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
    public void allBoxesTogetherSendNoMoreThanAColdEndpointBears(ColdStartShares shares, Layout layout) {
        Burst burst = new Burst();
        burst.play(fleet(shares, layout, true), fleet(shares, layout, false));
        assertTrue(burst.most <= BEARABLE, shares + " " + layout + ": " + burst.most);
        assertTrue(burst.sent > 0, shares + " " + layout + " sends nothing");
    }

    /** A box that chose for all until now, and those that choose for their parts from now on, send within the same second. */
    @Test(dataProvider = "layouts")
    public void aCutThatComesUnderTheBurstChangesNothing(ColdStartShares shares, Layout layout) {
        Burst burst = new Burst();
        burst.play(fleet(shares, Layout.WHOLE, true), fleet(shares, Layout.WHOLE, false));
        burst.play(fleet(shares, layout, true), fleet(shares, layout, false));
        assertTrue(burst.most <= BEARABLE, shares + " " + layout + ": " + burst.most);
    }

    /** Boxes that have just started may know only themselves, and each would take itself for the one that chooses. */
    @Test
    public void aBoxThatKnowsNobodyYetLeavesColdEndpointsAloneWhileThereAreWarmOnes() {
        RelayEndpoints endpoints = new RelayEndpoints(() -> TimeUnit.MILLISECONDS.toNanos(nowMs));
        endpoints.applyList(List.of(new Member(
                "warm", Member.Kind.ENDPOINT, "d0", "127.0.0.1:8", "llm", "v1", Member.State.LIVE, 1, 64, 0)));
        RelayEndpoint warm = endpoints.ofService("llm").get(0);
        SendLimits limits = limits(new EqualColdStartShares(), aloneInTheFleet(false));
        assertEquals(limits.withinLimits(List.of(endpoint, warm), SelectionMode.COORDINATOR), List.of(warm));
    }

    /** When what an endpoint said last is over it is warm, and nothing bounds what it gets. */
    @Test
    public void aWarmEndpointIsNotBounded() {
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

    /** In each part of a fleet that is cut apart a box chooses, and one of them is replaced by a box that begins anew. */
    @Test
    public void aBoxThatBeginsToChooseWhileTheFleetIsCutApartChangesNothing() {
        Burst burst = new Burst();
        List<SendLimits> parts = new ArrayList<>(fleet(new EqualColdStartShares(), Layout.CUT_APART_AND_ALONE, true));
        List<SendLimits> alone = fleet(new EqualColdStartShares(), Layout.CUT_APART_AND_ALONE, false);
        burst.play(parts, alone);
        parts.set(
                0,
                fleet(new EqualColdStartShares(), Layout.CUT_APART_AND_ALONE, true)
                        .get(0));
        burst.play(parts, alone);
        assertTrue(burst.most <= BEARABLE, "in a second: " + burst.most);
    }
}
