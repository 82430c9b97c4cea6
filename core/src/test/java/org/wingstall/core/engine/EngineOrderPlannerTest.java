package org.wingstall.core.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.endpoint.EngineState;
import org.wingstall.schema.endpoint.EngineTarget;
import org.wingstall.schema.table.EngineRow;

public class EngineOrderPlannerTest {
    private static final long NOW_MS = 100_000;
    private static final EngineTarget OLD = new EngineTarget("m", 1, List.of(), EngineTarget.Role.BOTH);
    private static final EngineTarget NEW = new EngineTarget("m", 2, List.of("a", "b"), EngineTarget.Role.BOTH);

    private final EngineOrderPlanner planner = new EngineOrderPlanner(1, 5000);

    private static EngineRow row(int atOnce) {
        return new EngineRow("s", "m", 2, List.of("b", "a"), EngineRow.Role.BOTH, atOnce);
    }

    private static EngineView viewWithState(String id, EngineTarget loaded, boolean loading, long agoMs) {
        return EngineView.unknown(id, 1).withState(new EngineState(loaded, loading, 1), NOW_MS - agoMs, NOW_MS - agoMs);
    }

    @DataProvider
    Object[][] orders() {
        EngineView unknown = EngineView.unknown("u", 1);
        EngineView busy = viewWithState("busy", OLD, false, 0);
        EngineView idle = viewWithState("idle", OLD, false, 0);
        EngineView done = viewWithState("done", NEW, false, 0);
        EngineView loading = viewWithState("loading", OLD, true, 0);
        EngineView withoutResponse = viewWithState("unanswered", OLD, false, 10).withOrderSent(NOW_MS);
        return new Object[][] {
            {"the least busy engine gets the order first", 1, List.of(busy, idle), List.of("idle")},
            {"a loading engine counts towards the limit", 1, List.of(idle, loading), List.of()},
            {
                "an engine that has not responded to its order counts towards the limit",
                1,
                List.of(idle, withoutResponse),
                List.of()
            },
            {"several engines load at once", 3, List.of(busy, idle, loading), List.of("idle", "busy")},
            {"an engine at its target gets no order", 2, List.of(done, idle), List.of("idle")},
            {"an engine that never responded gets no order", 2, List.of(unknown), List.of()},
        };
    }

    @Test(dataProvider = "orders")
    public void ordersLeastBusyEnginesUpToLimit(
            String name, int atOnce, List<EngineView> views, List<String> expected) {
        Map<String, Integer> inFlight = Map.of("busy", 9);
        List<String> ordered =
                planner.enginesToOrder(row(atOnce), views, view -> inFlight.getOrDefault(view.memberId(), 0)).stream()
                        .map(EngineView::memberId)
                        .toList();
        assertEquals(ordered, expected, name);
    }

    @Test
    public void ignoresResponseToQuerySentBeforeOrder() {
        EngineView queried = viewWithState("asked", OLD, false, 10);
        long queriedAtMs = NOW_MS;
        EngineView ordered = queried.withOrderSent(NOW_MS + 1);
        EngineView late = ordered.withState(new EngineState(OLD, false, 1), queriedAtMs, NOW_MS + 5);
        assertEquals(
                planner.enginesToOrder(row(1), List.of(late, viewWithState("other", OLD, false, 0)), view -> 0),
                List.of());
        EngineView responded = ordered.withState(new EngineState(OLD, true, 1), NOW_MS + 1, NOW_MS + 5);
        assertTrue(responded.state().isLoading());
    }

    @Test
    public void queriesEnginesAtTargetPeriodicallyOldestResponseFirst() {
        List<EngineView> views = List.of(
                viewWithState("fresh", NEW, false, 100),
                viewWithState("older", NEW, false, 9000),
                viewWithState("oldest", NEW, false, 20_000),
                viewWithState("loading", OLD, true, 0),
                EngineView.unknown("unknown", 1));
        List<String> queried = planner.enginesToQuery(row(1), views, NOW_MS).stream()
                .map(EngineView::memberId)
                .toList();
        assertEquals(queried, List.of("loading", "unknown", "oldest"));
    }
}
