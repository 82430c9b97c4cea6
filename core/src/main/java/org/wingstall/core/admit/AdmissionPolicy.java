package org.wingstall.core.admit;

/**
 * Decides whether the remaining stages of a request can finish before its deadline.
 *
 * <p>{@code if (!admission.canMeetDeadline(remainingMs, remainingStagesMs, waitMs)) { refuse(); }}
 *
 * @since 0.1
 */
public interface AdmissionPolicy {
    /**
     * Returns whether a request is expected to meet its deadline.
     *
     * @param remainingMs time left until the deadline, in ms
     * @param remainingStagesMs estimated total time of the remaining stages, in ms
     * @param waitMs estimated queueing time before the first of them, in ms
     * @return whether it can meet its deadline
     */
    boolean canMeetDeadline(double remainingMs, double remainingStagesMs, double waitMs);
}
