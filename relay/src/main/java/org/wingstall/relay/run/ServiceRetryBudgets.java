package org.wingstall.relay.run;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wingstall.core.retry.RetryBudget;

/**
 * The retry budgets of the services: this box's part of what all boxes may use together.
 *
 * <p>{@code if (budgets.of("preorder-api").tryRetry()) { retry(); }}
 *
 * @since 0.2
 */
public final class ServiceRetryBudgets {
    /** FleetBudget of the fleet's budget that boxes use, since their shares of the traffic are uneven and windows slide. */
    private static final double USED_FRACTION = 0.7;

    private static final double PERCENT = 100;

    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
    private volatile FleetBudget fleetBudget;

    /**
     * What a fleet may use, and the boxes that share it.
     *
     * @param ratio retries for each request to a service
     * @param extra retries beyond that in a window
     * @param boxes boxes of the fleet
     */
    public record FleetBudget(double ratio, double extra, int boxes) {
        private double percent() {
            return PERCENT * ratio * USED_FRACTION;
        }

        private double boxExtra() {
            return extra * USED_FRACTION / boxes;
        }
    }

    /**
     * Creates budgets.
     *
     * @param part this box's part of the fleet's budget
     */
    public ServiceRetryBudgets(FleetBudget fleetBudget) {
        this.fleetBudget = fleetBudget;
    }

    /** Begins new budgets with another part, unless it is the same. */
    public void update(FleetBudget next) {
        if (!next.equals(fleetBudget)) {
            fleetBudget = next;
            budgets.clear();
        }
    }

    /** Returns a service's budget. */
    public RetryBudget of(String service) {
        return budgets.computeIfAbsent(service, name -> new RetryBudget(fleetBudget.percent(), fleetBudget.boxExtra()));
    }
}
