package org.wingstall.core.admit;

/** Takes in every request; a baseline. */
final class AdmitAll implements AdmissionPolicy {
    @Override
    public boolean canMeetDeadline(double remainingMs, double stagesLeftMs, double waitMs) {
        return true;
    }
}
