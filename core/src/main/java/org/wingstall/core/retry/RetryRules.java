package org.wingstall.core.retry;

/**
 * Decides whether an attempt at a stage that gave no answer may be followed by another one.
 *
 * <p>{@code RetryRules.Decision next = RetryRules.decide(AttemptOutcome.LOST, false, 1, budget);}
 *
 * @since 0.1
 */
public final class RetryRules {
    /** Most attempts at one stage. */
    public static final int MAX_ATTEMPTS = 4;

    private RetryRules() {}

    /** How an attempt ended. */
    public enum AttemptOutcome {
        /** No byte of the call was handed to the endpoint. */
        NOT_SENT("not-sent"),
        /** The endpoint answered that it refused the call before running it. */
        REFUSED_UNRUN("refused-unrun"),
        /** The endpoint answered that the call failed. */
        FAILED("failed"),
        /** The connection broke after the call was handed over. */
        LOST("lost"),
        /** The endpoint made no progress in time. */
        TIMED_OUT("timed-out"),
        /** The answer belonged to another call. */
        MISMATCHED("mismatched");

        private final String code;

        AttemptOutcome(String code) {
            this.code = code;
        }

        /** Returns the code that counters and logs show. */
        public String code() {
            return code;
        }

        /** Returns whether the call certainly did not run. */
        public boolean certainlyNotRun() {
            return this == NOT_SENT || this == REFUSED_UNRUN;
        }
    }

    /** What follows on an attempt. */
    public enum Decision {
        /** Another endpoint is called. */
        RETRY,
        /** The stage may have run and can't be repeated: the outcome is unknown. */
        UNKNOWN,
        /** The stage ran and failed. */
        FAILED,
        /** No further attempt is allowed. */
        EXHAUSTED
    }

    /**
     * Returns whether a further attempt would be allowed now.
     *
     * @param attempts attempts made so far
     * @param budget the service's budget; nothing is taken from it
     * @return whether a retry is left
     */
    public static boolean canRetry(int attempts, RetryBudget budget) {
        return attempts < MAX_ATTEMPTS && budget.hasRetryLeft();
    }

    /**
     * Decides what follows.
     *
     * @param end how the attempt ended
     * @param repeatable whether the stage may run more than once
     * @param attempts attempts made so far
     * @param budget the service's budget; a retry takes from it
     * @return what follows
     */
    public static Decision decide(AttemptOutcome end, boolean repeatable, int attempts, RetryBudget budget) {
        if (!repeatable && !end.certainlyNotRun()) {
            return end == AttemptOutcome.FAILED ? Decision.FAILED : Decision.UNKNOWN;
        }
        if (attempts >= MAX_ATTEMPTS || !budget.tryRetry()) {
            return Decision.EXHAUSTED;
        }
        return Decision.RETRY;
    }
}
