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
    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();
    private volatile Rate rate;

    private record Rate(double percent, long saved) {}

    /**
     * Creates budgets.
     *
     * @param percent retries for a hundred requests
     * @param saved most retries that this box saves up for a burst
     */
    public ServiceBudgets(double percent, long saved) {
        this.rate = new Rate(percent, saved);
    }

    /** Begins new budgets with other rates, unless they are the same. */
    public void change(double percent, long saved) {
        Rate next = new Rate(percent, saved);
        if (!next.equals(rate)) {
            rate = next;
            budgets.clear();
        }
    }

    /** Returns a service's budget. */
    public RetryBudget of(String service) {
        return budgets.computeIfAbsent(service, name -> new RetryBudget(rate.percent(), rate.saved()));
    }
}
