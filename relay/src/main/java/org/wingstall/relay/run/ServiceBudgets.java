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
public final class ServiceBudgets {
    private final double percent;
    private final long saved;
    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

    /**
     * Creates budgets.
     *
     * @param percent retries for a hundred requests
     * @param saved most retries that this box saves up for a burst
     */
    public ServiceBudgets(double percent, long saved) {
        this.percent = percent;
        this.saved = saved;
    }

    /** Returns a service's budget. */
    public RetryBudget of(String service) {
        return budgets.computeIfAbsent(service, name -> new RetryBudget(percent, saved));
    }
}
