package org.wingstall.core.admit;

/** Takes in every request; a baseline. */
final class AdmitAll implements Admission {
    @Override
    public boolean canLand(double remainingMs, double stagesLeftMs, double waitMs) {
        return true;
    }
}
