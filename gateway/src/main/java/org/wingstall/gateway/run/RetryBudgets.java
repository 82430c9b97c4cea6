package org.wingstall.gateway.run;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wingstall.core.retry.RetryBudget;

/**
 * The retry budget of each service.
 *
 * <p>{@code budgets.of("wingstall-llm").called();}
 *
 * @since 0.1
 */
public final class RetryBudgets {
    private final double percent;
    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

    /**
     * Creates the budgets.
     *
     * @param percent retries for a hundred calls
     */
    public RetryBudgets(double percent) {
        this.percent = percent;
    }

    RetryBudget of(String service) {
        return budgets.computeIfAbsent(service, key -> new RetryBudget(percent));
    }
}
