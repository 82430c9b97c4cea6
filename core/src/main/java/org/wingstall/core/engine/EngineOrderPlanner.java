package org.wingstall.core.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;
import org.wingstall.schema.endpoint.EngineTarget;
import org.wingstall.schema.table.EngineRow;

/**
 * Decides which engines of a service receive a load order now and which are queried for their state.
 *
 * <p>An engine accepts no calls while it loads, so only a few load at once, starting with those that have the fewest
 * calls in flight. An engine that has not responded to its last order counts as loading. An engine that has reached its
 * target is still queried periodically, because a late order from a previous lease holder may have changed it.
 *
 * <p>{@code planner.enginesToOrder(row, views, inFlight); planner.enginesToQuery(row, views, nowMs);}
 *
 * @since 0.1
 */
public final class EngineOrderPlanner {
    private final int maxRefreshQueries;
    private final long refreshIntervalMs;

    /**
     * Creates a planner.
     *
     * @param maxRefreshQueries maximum number of engines that have reached their target to query at once
     * @param refreshIntervalMs time after which such an engine is queried again, in ms
     */
    public EngineOrderPlanner(int maxRefreshQueries, long refreshIntervalMs) {
        this.maxRefreshQueries = maxRefreshQueries;
        this.refreshIntervalMs = refreshIntervalMs;
    }

    /** Returns the target that a configuration row specifies. */
    public static EngineTarget target(EngineRow row) {
        List<String> adapters = row.getAdapters().stream().sorted().toList();
        return new EngineTarget(
                row.getModel(),
                row.getVersion(),
                adapters,
                EngineTarget.Role.fromValue(row.getRole().value()));
    }

    /**
     * Returns the engines to send an order to now.
     *
     * @param row configuration of the service's engines
     * @param views views of the service's engines
     * @param inFlight returns the number of calls in flight at an engine
     * @return engines to order, in the sequence in which orders are sent
     */
    public List<EngineView> enginesToOrder(
            EngineRow row, Collection<EngineView> views, ToIntFunction<EngineView> inFlight) {
        EngineTarget target = target(row);
        long loading = views.stream().filter(EngineView::mayBeLoading).count();
        return views.stream()
                .filter(view -> view.state() != null && !view.mayBeLoading() && !view.hasReached(target))
                .sorted(Comparator.comparingInt(inFlight).thenComparing(EngineView::memberId))
                .limit(Math.max(0, row.getAtOnce() - loading))
                .toList();
    }

    /**
     * Returns the engines to query for their state now.
     *
     * @param row configuration of the service's engines
     * @param views views of the service's engines
     * @param nowMs current time of the monotonic clock, in ms
     * @return engines to query
     */
    public List<EngineView> enginesToQuery(EngineRow row, Collection<EngineView> views, long nowMs) {
        EngineTarget target = target(row);
        List<EngineView> queried = new ArrayList<>();
        List<EngineView> dueForRefresh = new ArrayList<>();
        for (EngineView view : views) {
            if (view.mayBeLoading() || view.state() == null) {
                queried.add(view);
            } else if (view.hasReached(target) && nowMs - view.respondedAtMs() >= refreshIntervalMs) {
                dueForRefresh.add(view);
            }
        }
        dueForRefresh.sort(Comparator.comparingLong(EngineView::respondedAtMs));
        queried.addAll(dueForRefresh.subList(0, Math.min(maxRefreshQueries, dueForRefresh.size())));
        return queried;
    }
}
