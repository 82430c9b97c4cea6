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

    private final EngineOrderPlanner plan = new EngineOrderPlanner(1, 5000);

    private static EngineRow row(int atOnce) {
        return new EngineRow("s", "m", 2, List.of("b", "a"), EngineRow.Role.BOTH, atOnce);
    }

    private static EngineView said(String id, EngineTarget loaded, boolean loading, long agoMs) {
        return EngineView.unknown(id, 1).withState(new EngineState(loaded, loading, 1), NOW_MS - agoMs, NOW_MS - agoMs);
    }

    @DataProvider
    Object[][] orders() {
        EngineView unknown = EngineView.unknown("u", 1);
        EngineView busy = said("busy", OLD, false, 0);
        EngineView idle = said("idle", OLD, false, 0);
        EngineView done = said("done", NEW, false, 0);
        EngineView loading = said("loading", OLD, true, 0);
        EngineView unanswered = said("unanswered", OLD, false, 10).withOrderSent(NOW_MS);
        return new Object[][] {
            {"the least busy goes first", 1, List.of(busy, idle), List.of("idle")},
            {"one that loads counts", 1, List.of(idle, loading), List.of()},
            {"one whose order is unanswered counts", 1, List.of(idle, unanswered), List.of()},
            {"several at once", 3, List.of(busy, idle, loading), List.of("idle", "busy")},
            {"one that has it gets nothing", 2, List.of(done, idle), List.of("idle")},
            {"one that was never heard gets nothing", 2, List.of(unknown), List.of()},
        };
    }

    @Test(dataProvider = "orders")
    public void ordersGoToFewAtOnce(String name, int atOnce, List<EngineView> views, List<String> expected) {
        Map<String, Integer> inFlight = Map.of("busy", 9);
        List<String> ordered =
                plan.enginesToOrder(row(atOnce), views, view -> inFlight.getOrDefault(view.memberId(), 0)).stream()
                        .map(EngineView::memberId)
                        .toList();
        assertEquals(ordered, expected, name);
    }

    @Test
    public void anAnswerToAQuestionFromBeforeTheOrderDoesNotSayThatTheOrderIsDone() {
        EngineView asked = said("asked", OLD, false, 10);
        long askedAtMs = NOW_MS;
        EngineView ordered = asked.withOrderSent(NOW_MS + 1);
        EngineView late = ordered.withState(new EngineState(OLD, false, 1), askedAtMs, NOW_MS + 5);
        assertEquals(plan.enginesToOrder(row(1), List.of(late, said("other", OLD, false, 0)), view -> 0), List.of());
        EngineView answered = ordered.withState(new EngineState(OLD, true, 1), NOW_MS + 1, NOW_MS + 5);
        assertTrue(answered.state().isLoading());
    }

    @Test
    public void enginesThatHaveWhatIsWantedAreAskedNowAndThenTheLongestUnheardFirst() {
        List<EngineView> views = List.of(
                said("fresh", NEW, false, 100),
                said("older", NEW, false, 9000),
                said("oldest", NEW, false, 20_000),
                said("loading", OLD, true, 0),
                EngineView.unknown("unknown", 1));
        List<String> asked = plan.enginesToQuery(row(1), views, NOW_MS).stream()
                .map(EngineView::memberId)
                .toList();
        assertEquals(asked, List.of("loading", "unknown", "oldest"));
    }
}
