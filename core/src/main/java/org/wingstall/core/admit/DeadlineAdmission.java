package org.wingstall.core.admit;

/** Takes in a request whose stages and wait fit into the time left. */
final class DeadlineAdmission implements AdmissionPolicy {
    @Override
    public boolean canMeetDeadline(double remainingMs, double stagesLeftMs, double waitMs) {
        return stagesLeftMs + waitMs <= remainingMs;
    }
}
