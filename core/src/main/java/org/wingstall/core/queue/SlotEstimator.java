package org.wingstall.core.queue;

/** Estimates waits only from the number of slots and the duration of one call. */
final class SlotEstimator implements WaitEstimator {
    @Override
    public void recordWaiting(int precedence) {}

    @Override
    public void recordAbandoned(int precedence) {}

    @Override
    public void recordGranted(int precedence) {}

    @Override
    public double waitMs(int precedence, double slotBasedMs) {
        return slotBasedMs;
    }
}
