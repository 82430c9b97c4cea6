package org.wingstall.core.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Allows retries as a share of calls, so that a failing service is not buried under its own retries.
 *
 * <p>{@code budget.called(); if (budget.tryRetry()) { retry(); }}
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
     * @param percent retries for a hundred calls
     */
    public RetryBudget(double percent) {
        this(percent, MAX_SAVED_RETRIES);
    }

    /**
     * Creates a budget; it is full from the start, so that a box that has just started can carry one endpoint's calls over
     * to others. A part of one retry, as a box of a large fleet has, is made up to one by calls.
     *
     * @param percent retries for a hundred calls
     * @param saved most retries saved up
     */
    public RetryBudget(double percent, double saved) {
        this.gainPerCall = Math.round(percent / 100 * RETRY_COST);
        this.maxBalance = Math.round(Math.max(1, saved) * RETRY_COST);
        this.balance = new AtomicLong(Math.round(saved * RETRY_COST));
    }

    /** Records a first call. */
    public void recordCall() {
        balance.accumulateAndGet(gainPerCall, (now, gain) -> Math.min(now + gain, maxBalance));
    }

    /** Returns whether the budget has a retry left. */
    public boolean hasRetryLeft() {
        return balance.get() >= RETRY_COST;
    }

    /** Takes one retry out of the budget, if it has one left. */
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
