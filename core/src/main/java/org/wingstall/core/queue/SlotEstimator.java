package org.wingstall.core.queue;

/** Reckons with the slots and the time of one call alone. */
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
