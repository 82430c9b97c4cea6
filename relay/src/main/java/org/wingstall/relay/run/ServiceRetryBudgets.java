package org.wingstall.relay.run;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wingstall.core.retry.RetryBudget;

/**
 * Holds a retry budget for each service: this box's share of the budget of the fleet.
 *
 * <p>{@code if (budgets.of("preorder-api").tryRetry()) { retry(); }}
 *
 * @since 0.2
 */
public final class ServiceRetryBudgets {
    /** Fraction of the fleet's budget that boxes use, since traffic is spread unevenly over boxes and windows slide. */
    private static final double USED_FRACTION = 0.7;

    private static final double PERCENT = 100;

    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
    private volatile FleetBudget fleetBudget;

    /**
     * The retry budget of a fleet, and the number of boxes that share it.
     *
     * @param ratio retries for each request to a service
     * @param extra additional retries in a window
     * @param boxes boxes of the fleet
     */
    public record FleetBudget(double ratio, double extra, int boxes) {
        // Written out like hashCode: the generated methods of a record are made at its first use, which takes several
        // ms.
        @Override
        public boolean equals(Object other) {
            return other instanceof FleetBudget that
                    && Double.compare(ratio, that.ratio) == 0
                    && Double.compare(extra, that.extra) == 0
                    && boxes == that.boxes;
        }

        @Override
        public int hashCode() {
            return 31 * (31 * Double.hashCode(ratio) + Double.hashCode(extra)) + boxes;
        }

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
     * @param fleetBudget the budget that the boxes share
     */
    public ServiceRetryBudgets(FleetBudget fleetBudget) {
        this.fleetBudget = fleetBudget;
    }

    /** Replaces the budgets if the budget of the fleet differs from the current one. */
    public void update(FleetBudget next) {
        if (!next.equals(fleetBudget)) {
            fleetBudget = next;
            budgets.clear();
        }
    }

    /** Returns a service's budget. */
    public RetryBudget of(String service) {
        RetryBudget known = budgets.get(service);
        if (known != null) {
            return known;
        }
        return budgets.computeIfAbsent(service, name -> new RetryBudget(fleetBudget.percent(), fleetBudget.boxExtra()));
    }
}
