package org.wingstall.core.queue;

/**
 * A stage that waits for an endpoint.
 *
 * <p>{@code queue.add(waiter); ... Waiter next = queue.poll();}
 *
 * @since 0.1
 */
public interface Waiter {
    /** Returns the precedence of the pipeline; higher values are served first. */
    int precedence();

    /** Returns the workspace that is charged for the stage. */
    String workspace();

    /** Returns the weight of the workspace. */
    double weight();

    /** Returns the deadline of the request, in ms of the monotonic clock. */
    long deadlineMs();
}
