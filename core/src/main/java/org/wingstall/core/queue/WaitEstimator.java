package org.wingstall.core.queue;

import org.wingstall.core.time.MonotonicClock;
import org.wingstall.schema.settings.Policy;

/**
 * Estimates how long a new waiter would wait for an endpoint of a service. Not thread-safe.
 *
 * <p>{@code estimator.recordWaiting(3); estimator.recordGranted(3); double waitMs = estimator.waitMs(3, slotBasedMs);}
 *
 * @since 0.1
 */
public interface WaitEstimator {
    /** Records a new waiter. */
    void recordWaiting(int precedence);

    /** Records that a waiter left the queue without being served. */
    void recordAbandoned(int precedence);

    /** Records that a waiter was granted an endpoint. */
    void recordGranted(int precedence);

    /**
     * Estimates how long a new waiter would wait while others are queued.
     *
     * @param precedence precedence of the new waiter
     * @param slotBasedMs time that the slots need to serve all waiters ahead of it, in ms
     * @return estimated wait, in ms
     */
    double waitMs(int precedence, double slotBasedMs);

    /**
     * Creates the estimator selected in the settings.
     *
     * @param policy policy settings
     * @param clock monotonic clock
     * @return an estimator without measurements
     */
    static WaitEstimator of(Policy policy, MonotonicClock clock) {
        return switch (policy.getWaitEstimate()) {
            case SLOTS -> new SlotEstimator();
            case PACE -> new GrantIntervalEstimator(clock);
        };
    }
}
