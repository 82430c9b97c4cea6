package org.wingstall.core.queue;

import org.wingstall.schema.settings.Policy;

/**
 * Queue of stages that wait for an endpoint of one service. Not thread-safe.
 *
 * <p>{@code WaitQueue<Waiter> queue = WaitQueue.of(policy);}
 *
 * @param <W> type of the waiters
 * @since 0.1
 */
public interface WaitQueue<W extends Waiter> {
    /** Adds a waiter. */
    void add(W waiter);

    /** Removes and returns the next waiter, or null if the queue is empty. */
    W poll();

    /** Removes a waiter that no longer waits; returns whether it was queued. */
    boolean remove(W waiter);

    /** Returns the number of waiters. */
    int size();

    /** Returns the number of waiters that would be served before a new one of the given precedence. */
    int countAhead(int precedence);

    /**
     * Creates the queue selected in the settings.
     *
     * @param policy policy settings
     * @param <W> type of the waiters
     * @return an empty queue
     */
    static <W extends Waiter> WaitQueue<W> of(Policy policy) {
        return switch (policy.getOrdering()) {
            case ARRIVAL -> new FifoWaitQueue<>();
            case PRECEDENCE -> new PrecedenceQueue<>();
        };
    }
}
