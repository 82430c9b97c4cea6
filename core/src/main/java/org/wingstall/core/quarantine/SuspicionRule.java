package org.wingstall.core.quarantine;

import org.wingstall.core.answer.Reason;

/** Decides from its losses whether a suspect may be sent to endpoints. */
interface SuspicionRule {
    /** Returns when a suspect may be sent to an endpoint again, in ms of the monotonic clock. */
    long sendableAtMs(CrashRecord record);

    /** Returns the time for which a suspect must not be sent to any endpoint, in ms; 0 if it may be sent. */
    default long remainingHoldMs(CrashRecord record, long nowMs) {
        return Math.max(0, sendableAtMs(record) - nowMs);
    }

    /** Returns whether a suspect may be sent to one endpoint at a time only, as a trial. */
    boolean needsTrial(Fingerprint suspect, CrashRecord record, long nowMs);

    /** Returns when a trial may start, in ms of the monotonic clock. */
    long trialFromMs(CrashRecord record);

    /** Returns the reason for which a suspect is refused while it is held. */
    Reason holdReason();

    /** Returns the reason for which a suspect is refused while it is on trial. */
    Reason trialReason();

    /** Returns what is suspected, for texts. */
    String subject();
}
