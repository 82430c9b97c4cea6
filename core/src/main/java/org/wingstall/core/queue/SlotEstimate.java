package org.wingstall.core.queue;

/** Reckons with the slots and the time of one call alone. */
final class SlotEstimate implements WaitEstimate {
    @Override
    public void waiting(int precedence) {}

    @Override
    public void gaveUp(int precedence) {}

    @Override
    public void granted(int precedence) {}

    @Override
    public double waitMs(int precedence, double bySlotsMs) {
        return bySlotsMs;
    }
}
