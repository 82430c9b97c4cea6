package org.wingstall.core.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;
import org.wingstall.schema.endpoint.EngineTarget;
import org.wingstall.schema.table.EngineRow;

/**
 * Decides which engines of a service get an order now and which are asked for their state.
 *
 * <p>An engine takes no calls while it loads, so only a few do at once, those with the least work in flight first. An
 * engine whose last order is unanswered counts as loading. An engine that has what is wanted is asked again only now and
 * then: a late order of an earlier holder may have changed it.
 *
 * <p>{@code plan.toOrder(row, views, inFlight); plan.toAsk(row, views, nowMs);}
 *
 * @since 0.1
 */
public final class EngineOrderPlanner {
    private final int maxRefreshQueries;
    private final long refreshIntervalMs;

    /**
     * Creates a plan.
     *
     * @param asksAtOnce most engines asked at once that have what is wanted
     * @param calmMs time after which such an engine is asked again, in ms
     */
    public EngineOrderPlanner(int asksAtOnce, long calmMs) {
        this.maxRefreshQueries = asksAtOnce;
        this.refreshIntervalMs = calmMs;
    }

    /** Returns what a row wants. */
    public static EngineTarget target(EngineRow row) {
        List<String> adapters = row.getAdapters().stream().sorted().toList();
        return new EngineTarget(
                row.getModel(),
                row.getVersion(),
                adapters,
                EngineTarget.Role.fromValue(row.getRole().value()));
    }

    /**
     * Returns the engines that get an order now.
     *
     * @param row what the operators want
     * @param views engines of the service
     * @param inFlight calls in flight at an engine
     * @return engines, in the order in which they get it
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
     * Returns the engines that are asked for their state now.
     *
     * @param row what the operators want
     * @param views engines of the service
     * @param nowMs time of the monotonic clock, in ms
     * @return engines
     */
    public List<EngineView> enginesToQuery(EngineRow row, Collection<EngineView> views, long nowMs) {
        EngineTarget target = target(row);
        List<EngineView> queried = new ArrayList<>();
        List<EngineView> dueForRefresh = new ArrayList<>();
        for (EngineView view : views) {
            if (view.mayBeLoading() || view.state() == null) {
                queried.add(view);
            } else if (view.hasReached(target) && nowMs - view.answeredAtMs() >= refreshIntervalMs) {
                dueForRefresh.add(view);
            }
        }
        dueForRefresh.sort(Comparator.comparingLong(EngineView::answeredAtMs));
        queried.addAll(dueForRefresh.subList(0, Math.min(maxRefreshQueries, dueForRefresh.size())));
        return queried;
    }
}
