package org.wingstall.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wingstall.schema.peer.WorkspaceDemand;

/**
 * Sums the demand of each workspace over several boxes.
 *
 * <p>{@code totals.add(peer.demand()); List<WorkspaceDemand> busiest = totals.busiest(3);}
 *
 * @since 0.1
 */
public final class DemandTotals {
    private final Map<String, Double> perSecond = new HashMap<>();

    /** Adds the demand on a box or in a failure domain; null if it reports none. */
    public void add(List<WorkspaceDemand> demand) {
        if (demand != null) {
            demand.forEach(entry -> perSecond.merge(entry.getWorkspace(), entry.getPerSecond(), Double::sum));
        }
    }

    /** Returns requests per second by workspace. */
    public Map<String, Double> perSecond() {
        return Map.copyOf(perSecond);
    }

    /** Returns the workspaces with the most requests per second, at most {@code limit} of them. */
    public List<WorkspaceDemand> busiest(int limit) {
        return perSecond.entrySet().stream()
                .sorted(Map.Entry.<String, Double>comparingByValue().reversed())
                .limit(limit)
                .map(entry -> new WorkspaceDemand(entry.getKey(), entry.getValue()))
                .toList();
    }
}
