package org.wingstall.core.queue;

import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.settings.Policy;

/**
 * Estimates how long a new waiter would wait for an endpoint of a service; not safe for several threads.
 *
 * <p>{@code estimate.waiting(3); estimate.granted(3); double waitMs = estimate.waitMs(3, bySlotsMs);}
 *
 * @since 0.1
 */
public interface WaitEstimator {
    /** Records a new waiter. */
    void recordWaiting(int precedence);

    /** Records that a waiter gave up. */
    void recordAbandoned(int precedence);

    /** Records that a waiter was served. */
    void recordGranted(int precedence);

    /**
     * Estimates the wait of a new waiter while others wait.
     *
     * @param precedence its precedence
     * @param bySlotsMs time in which the slots serve those who go before it, in ms
     * @return the wait, in ms
     */
    double waitMs(int precedence, double slotBasedMs);

    /**
     * Makes the estimate that the settings name.
     *
     * @param policy settings of the policy
     * @param clock monotonic clock
     * @return an estimate without measurements
     */
    static WaitEstimator of(Policy policy, MonotonicClock clock) {
        return switch (policy.getWaitEstimate()) {
            case SLOTS -> new SlotEstimator();
            case PACE -> new GrantIntervalEstimator(clock);
        };
    }
}
