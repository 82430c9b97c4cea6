package org.wingstall.core.admit;

/** Admits a request if its remaining stages and queueing time fit into the time until its deadline. */
final class DeadlineAdmission implements AdmissionPolicy {
    @Override
    public boolean canMeetDeadline(double remainingMs, double remainingStagesMs, double waitMs) {
        return remainingStagesMs + waitMs <= remainingMs;
    }
}
