package org.wingstall.gateway.claim;

import org.wingstall.core.answer.Reason;
import org.wingstall.schema.caller.Answer;

/**
 * What an attempt got when it asked for its key.
 *
 * <p>{@code if (outcome instanceof ClaimOutcome.Held held) { run(held.claim()); }}
 *
 * @since 0.1
 */
public sealed interface ClaimOutcome {
    /**
     * The attempt holds the key and may run.
     *
     * @param claim the claim
     */
    record Held(Claim claim) implements ClaimOutcome {}

    /**
     * The request ran before.
     *
     * @param answer the recorded answer
     */
    record Recorded(Answer answer) implements ClaimOutcome {}

    /**
     * The attempt must not run.
     *
     * @param reason why
     * @param detail why in words
     * @param retryAfterMs when to come back, in ms
     */
    record Refused(Reason reason, String detail, long retryAfterMs) implements ClaimOutcome {}
}
