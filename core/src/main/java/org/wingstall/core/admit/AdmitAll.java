package org.wingstall.core.admit;

/** Admits every request; a baseline for comparisons. */
final class AdmitAll implements AdmissionPolicy {
    @Override
    public boolean canMeetDeadline(double remainingMs, double remainingStagesMs, double waitMs) {
        return true;
    }
}
