package org.wingstall.core.admit;

/**
 * Decides whether the stages left of a request can still land within its deadline.
 *
 * <p>{@code if (!admission.canLand(remainingMs, stagesLeftMs, waitMs)) { refuse(); }}
 *
 * @since 0.1
 */
public interface AdmissionPolicy {
    /**
     * Decides on a request.
     *
     * @param remainingMs time left until the deadline, in ms
     * @param stagesLeftMs estimated time of the stages left, in ms
     * @param waitMs estimated wait for the first of them, in ms
     * @return whether it can land
     */
    boolean canMeetDeadline(double remainingMs, double stagesLeftMs, double waitMs);
}
