package org.wingstall.core.admit;

/** Takes in a request whose stages and wait fit into the time left. */
final class DeadlineAdmission implements Admission {
    @Override
    public boolean canLand(double remainingMs, double stagesLeftMs, double waitMs) {
        return stagesLeftMs + waitMs <= remainingMs;
    }
}
