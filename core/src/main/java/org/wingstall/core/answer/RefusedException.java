package org.wingstall.core.answer;

/**
 * Ends a request with a reason, a detail text and a hint when to retry.
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
     * @param detail text for the caller, including the value that caused the refusal
     * @param retryAfterMs when to retry, in ms; 0 when a retry does not help
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

    /** Returns when to retry, in ms; 0 when a retry does not help. */
    public long retryAfterMs() {
        return retryAfterMs;
    }
}
