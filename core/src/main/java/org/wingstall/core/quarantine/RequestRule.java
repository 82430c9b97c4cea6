package org.wingstall.core.quarantine;

import org.wingstall.core.answer.Reason;

/** Holds back requests that are repeated with equal content: after two losses they are tried, after three held. */
final class RequestRule implements SuspicionRule {
    /**
     * Time for which a request is held after its third loss, in ms; an operator who fixes the cause earlier can lift the
     * quarantine.
     */
    static final long INITIAL_HOLD_MS = 600_000;

    /** Maximum number of doublings of the hold, one for each further loss: up to about ten hours. */
    private static final int MAX_DOUBLINGS = 6;

    @Override
    public long sendableAtMs(CrashRecord record) {
        int activeLosses = record.activeLossCount();
        if (activeLosses < Quarantine.QUARANTINE_THRESHOLD) {
            return record.lastLossAtMs();
        }
        // A full record could not store the loss that a further trial causes, so the request gets no further trial.
        long holdMs = record.isFull()
                ? Quarantine.REPORT_RETENTION_MS
                : INITIAL_HOLD_MS << Math.min(MAX_DOUBLINGS, activeLosses - Quarantine.QUARANTINE_THRESHOLD);
        return record.lastLossAtMs() + holdMs;
    }

    @Override
    public boolean needsTrial(Fingerprint suspect, CrashRecord record, long nowMs) {
        return record.activeLossCount() >= Quarantine.QUARANTINE_THRESHOLD - 1;
    }

    @Override
    public long trialFromMs(CrashRecord record) {
        return record.lastLossAtMs();
    }

    @Override
    public Reason holdReason() {
        return Reason.QUARANTINED;
    }

    @Override
    public Reason trialReason() {
        return Reason.SUSPECT_ON_TRIAL;
    }

    @Override
    public String subject() {
        return "this request";
    }
}
