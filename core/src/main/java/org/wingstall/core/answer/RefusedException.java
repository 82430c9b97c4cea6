package org.wingstall.core.answer;

/**
 * Ends a request with a reason, a detail in words and a hint when to come back.
 *
 * <p>{@code throw new RefusedException(Reason.UNKNOWN_PIPELINE, "pipeline 'lunch' is not configured", 0);}
 *
 * @since 0.1
 */
public final class RefusedException extends Exception {
    private final Reason reason;
    private final long retryAfterMs;

    /**
     * Creates a refusal.
     *
     * @param reason why the request ends
     * @param detail the reason in words, with the value at fault
     * @param retryAfterMs when to come back, in ms; 0 when coming back does not help
     */
    public RefusedException(Reason reason, String detail, long retryAfterMs) {
        super(detail, null, false, false);
        this.reason = reason;
        this.retryAfterMs = retryAfterMs;
    }

    /** Returns why the request ends. */
    public Reason reason() {
        return reason;
    }

    /** Returns when to come back, in ms. */
    public long retryAfterMs() {
        return retryAfterMs;
    }
}
