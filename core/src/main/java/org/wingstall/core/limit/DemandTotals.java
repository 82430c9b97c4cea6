package org.wingstall.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wingstall.schema.peer.WorkspaceDemand;

/**
 * Adds up what several boxes tell of the demand of workspaces.
 *
 * <p>{@code sums.add(peer.demand()); List<WorkspaceDemand> busiest = sums.busiest(3);}
 *
 * @since 0.1
 */
public final class DemandTotals {
    private final Map<String, Double> perSecond = new HashMap<>();

    /** Adds the demand at a box or failure domain; null when it tells none. */
    public void add(List<WorkspaceDemand> demand) {
        if (demand != null) {
            demand.forEach(entry -> perSecond.merge(entry.getWorkspace(), entry.getPerSecond(), Double::sum));
        }
    }

    /** Returns requests a second by workspace. */
    public Map<String, Double> perSecond() {
        return Map.copyOf(perSecond);
    }

    /** Returns the workspaces with the most requests a second, at most so many. */
    public List<WorkspaceDemand> busiest(int most) {
        return perSecond.entrySet().stream()
                .sorted(Map.Entry.<String, Double>comparingByValue().reversed())
                .limit(most)
                .map(entry -> new WorkspaceDemand(entry.getKey(), entry.getValue()))
                .toList();
    }
}
