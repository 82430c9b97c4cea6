package org.wingstall.core.queue;

import org.wingstall.schema.settings.Policy;

/**
 * Stages that wait for endpoints of one service, in the order in which they go; not safe for several threads.
 *
 * <p>{@code WaitQueue<Waiter> queue = WaitQueue.of(policy);}
 *
 * @param <W> type of the waiters
 * @since 0.1
 */
public interface WaitQueue<W extends Waiter> {
    /** Adds a waiter. */
    void add(W waiter);

    /** Removes and returns the waiter that goes next, or null when none waits. */
    W poll();

    /** Removes a waiter that gave up; returns whether it was waiting. */
    boolean remove(W waiter);

    /** Returns the number of waiters. */
    int size();

    /** Returns the number of waiters that would go before a new one of the precedence. */
    int countAhead(int precedence);

    /**
     * Makes the queue that the settings name.
     *
     * @param policy settings of the policy
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
