package org.wingstall.core.retry;

/**
 * Decides whether a failed or unanswered attempt at a stage may be retried.
 *
 * <p>{@code RetryRules.Decision next = RetryRules.decide(AttemptOutcome.LOST, false, 1, budget);}
 *
 * @since 0.1
 */
public final class RetryRules {
    /** Maximum number of attempts at one stage. */
    public static final int MAX_ATTEMPTS = 4;

    private RetryRules() {}

    /** How one attempt at a stage ended. */
    public enum AttemptOutcome {
        /** No byte of the call was handed to the endpoint. */
        NOT_SENT("not-sent"),
        /** The endpoint answered that it refused the call before running it. */
        REFUSED_UNRUN("refused-unrun"),
        /** The endpoint answered that the call failed. */
        FAILED("failed"),
        /** The connection broke after the call was sent to the endpoint. */
        LOST("lost"),
        /** The endpoint made no progress in time. */
        TIMED_OUT("timed-out"),
        /** The response belonged to another call. */
        MISMATCHED("mismatched");

        private final String code;

        AttemptOutcome(String code) {
            this.code = code;
        }

        /** Returns the code used in metrics and logs. */
        public String code() {
            return code;
        }

        /** Returns whether the call certainly did not run. */
        public boolean certainlyNotRun() {
            return this == NOT_SENT || this == REFUSED_UNRUN;
        }
    }

    /** The next step after an attempt. */
    public enum Decision {
        /** Another endpoint is called. */
        RETRY,
        /** The stage may have run and is not repeatable: the outcome is unknown. */
        UNKNOWN,
        /** The stage ran and failed. */
        FAILED,
        /** No further attempt is allowed. */
        EXHAUSTED
    }

    /**
     * Returns whether another attempt would be allowed now.
     *
     * @param attempts attempts made so far
     * @param budget the service's budget; nothing is taken from it
     * @return whether a retry is allowed
     */
    public static boolean canRetry(int attempts, RetryBudget budget) {
        return attempts < MAX_ATTEMPTS && budget.hasRetryLeft();
    }

    /**
     * Decides the next step after an attempt.
     *
     * @param outcome how the attempt ended
     * @param repeatable whether the stage may run more than once
     * @param attempts attempts made so far
     * @param budget the service's budget; a retry is charged to it
     * @return the next step
     */
    public static Decision decide(AttemptOutcome outcome, boolean repeatable, int attempts, RetryBudget budget) {
        if (!repeatable && !outcome.certainlyNotRun()) {
            return outcome == AttemptOutcome.FAILED ? Decision.FAILED : Decision.UNKNOWN;
        }
        if (attempts >= MAX_ATTEMPTS || !budget.tryRetry()) {
            return Decision.EXHAUSTED;
        }
        return Decision.RETRY;
    }
}
