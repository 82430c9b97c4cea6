package org.wingstall.core.quarantine;

import org.wingstall.core.answer.Reason;

/**
 * Describes why a request must not be sent to an endpoint now.
 *
 * <p>{@code quarantine.refusal(run::fingerprint).ifPresent(r -> refuse(r.reason(), r.detail(), r.retryAfterMs()));}
 *
 * @param reason the reason
 * @param detail the reason as text for the caller
 * @param retryAfterMs time until it may be sent again, in ms
 * @since 0.7
 */
public record QuarantineRefusal(Reason reason, String detail, long retryAfterMs) {}
