package org.wingstall.core.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a percentage of calls, so that retries don't overload a failing service.
 *
 * <p>{@code budget.recordCall(); if (budget.tryRetry()) { retry(); }}
 *
 * @since 0.1
 */
public final class RetryBudget {
    private static final long RETRY_COST = 1000;
    private static final long MAX_SAVED_RETRIES = 50;

    private final AtomicLong balance;
    private final long maxBalance;
    private final long gainPerCall;

    /**
     * Creates a budget.
     *
     * @param percent retries per hundred calls
     */
    public RetryBudget(double percent) {
        this(percent, MAX_SAVED_RETRIES);
    }

    /**
     * Creates a budget that is full at the start, so that a newly started box can move one endpoint's calls to other
     * endpoints. If the maximum is less than one retry, as on a box of a large fleet, calls still fill the budget up to
     * one.
     *
     * @param percent retries for a hundred calls
     * @param maxSaved maximum number of retries saved up
     */
    public RetryBudget(double percent, double maxSaved) {
        this.gainPerCall = Math.round(percent / 100 * RETRY_COST);
        this.maxBalance = Math.round(Math.max(1, maxSaved) * RETRY_COST);
        this.balance = new AtomicLong(Math.round(maxSaved * RETRY_COST));
    }

    /** Records a call that is not a retry, which adds to the budget. */
    public void recordCall() {
        balance.accumulateAndGet(gainPerCall, (now, gain) -> Math.min(now + gain, maxBalance));
    }

    /** Returns whether the budget allows a retry now. */
    public boolean hasRetryLeft() {
        return balance.get() >= RETRY_COST;
    }

    /** Takes one retry from the budget if it allows one; returns whether it did. */
    public boolean tryRetry() {
        while (true) {
            long now = balance.get();
            if (now < RETRY_COST) {
                return false;
            }
            if (balance.compareAndSet(now, now - RETRY_COST)) {
                return true;
            }
        }
    }
}
