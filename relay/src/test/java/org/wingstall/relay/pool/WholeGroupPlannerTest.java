package org.wingstall.relay.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.relay.config.PoolSpec;
import org.wingstall.relay.pool.CallPlanner.EndpointCapacity;
import org.wingstall.relay.pool.CallPlanner.Part;
import org.wingstall.relay.pool.CallPlanner.PlannedCall;

/** Checks which pieces a call carries, and which endpoint it is sent to. */
public class WholeGroupPlannerTest {
    private static final long NOW_MS = 50;
    private static final PoolSpec SPEC = new PoolSpec(1, 2, 7, 200, 24, 100, 4000);

    private final CallPlanner planner = new WholeGroupPlanner();

    private static EndpointCapacity endpoint(String id, String domain, int freeSlots, double freeBytes) {
        return new EndpointCapacity(id, domain, freeSlots, freeBytes, 0);
    }

    private Optional<PlannedCall> next(List<PieceGroup> groups, EndpointCapacity... makers) {
        return planner.planNext(groups, List.of(makers), SPEC, NOW_MS);
    }

    private static List<Integer> sizes(PlannedCall call) {
        return call.parts().stream().map(Part::pieces).toList();
    }

    @Test
    public void groupsAreSentWholeAndOneThatDoesNotFitWaits() {
        PlannedCall call = next(
                        List.of(
                                PieceGroups.group(1, 2000, 5),
                                PieceGroups.group(1, 2000, 3),
                                PieceGroups.group(1, 2000, 2)),
                        endpoint("a", "east", 1, 100))
                .orElseThrow();
        assertEquals(sizes(call), List.of(5, 2));
    }

    /** After an endpoint crashed during a call for several requests, separate calls show which request caused it. */
    @Test
    public void suspectedGroupIsSentInACallOfItsOwn() {
        PieceGroup suspect = PieceGroups.suspected(1, 2000, 2);
        PieceGroup other = PieceGroups.group(1, 2000, 3);
        PieceGroup further = PieceGroups.group(1, 2000, 1);
        EndpointCapacity maker = endpoint("a", "east", 1, 100);
        assertEquals(sizes(next(List.of(suspect, other, further), maker).orElseThrow()), List.of(2));
        assertEquals(sizes(next(List.of(other, suspect, further), maker).orElseThrow()), List.of(3, 1));
    }

    @Test
    public void groupLargerThanACallIsSplit() {
        assertEquals(
                sizes(next(List.of(PieceGroups.group(1, 2000, 10)), endpoint("a", "east", 1, 100))
                        .orElseThrow()),
                List.of(7));
    }

    /**
     * Guards against a split group: two of four pieces ran and their results took capacity until the others could run.
     */
    @Test
    public void groupIsNotSentToAnEndpointWithoutCapacityForAllItsResults() {
        PieceGroup group = PieceGroups.group(1, 2000, 4, 20, "");
        assertTrue(next(List.of(group), endpoint("a", "east", 1, 40)).isEmpty());
        assertEquals(
                sizes(next(List.of(group), endpoint("a", "east", 1, 40), endpoint("b", "east", 1, 80))
                        .orElseThrow()),
                List.of(4));
    }

    /** Target of the group, and the endpoint that it is sent to while the near one is busy; empty if it waits. */
    @DataProvider
    public Object[][] targets() {
        return new Object[][] {{2000L, ""}, {200L, "far"}};
    }

    @Test(dataProvider = "targets")
    public void groupWaitsForANearEndpointUntilItsLatestStartIsClose(long targetAtMs, String expected) {
        PieceGroup group = PieceGroups.group(1, targetAtMs, 2, 1, "east");
        EndpointCapacity far = endpoint("far", "west", 1, 100);
        EndpointCapacity near = endpoint("near", "east", 1, 100);
        EndpointCapacity busy = endpoint("near", "east", 0, 100);
        assertEquals(
                next(List.of(group), far, busy)
                        .map(call -> call.endpoint().endpointId())
                        .orElse(""),
                expected);
        assertEquals(next(List.of(group), far, near).orElseThrow().endpoint().endpointId(), "near");
    }
}
