package org.wingstall.core.quarantine;

import org.wingstall.core.answer.Reason;

/**
 * Why a request is not sent to an endpoint now.
 *
 * <p>{@code quarantine.hold(run::fingerprint).ifPresent(hold -> refuse(hold.reason(), hold.detail(), hold.againMs()));}
 *
 * @param reason the reason
 * @param detail the reason in words
 * @param againMs time until it may be sent, in ms
 * @since 0.7
 */
public record QuarantineRefusal(Reason reason, String detail, long retryAfterMs) {}
